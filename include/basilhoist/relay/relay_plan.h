// Which shards of a request go through instances near their servers.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basilhoist {

/// Where the usable servers of one shard stand.
struct shard_place {
  std::set<std::string> failure_domains;
};

/// Shards that one failure domain's relay gets.
struct relay_batch {
  std::string failure_domain;
  std::vector<std::size_t> shards;

  bool operator==(const relay_batch&) const = default;
};

/// Plans batches, so that a request crosses to few failure domains: again and
/// again the domain that holds most of the shards left gets them. Shards with
/// a server in the own domain stay there, and are sent directly unless the own
/// domain is among the relays. A batch too small to save anything is sent
/// directly as well.
/// @param own this instance's failure domain
/// @param relays failure domains with an instance that takes batches
/// @param turn decides between domains with equally many shards
std::vector<relay_batch> PlanRelays(const std::vector<shard_place>& places,
                                    const std::string& own,
                                    const std::set<std::string>& relays,
                                    std::size_t turn);

}  // namespace basilhoist
