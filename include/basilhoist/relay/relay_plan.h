// Plans which shards of a request are sent through relays in other failure
// domains.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basilhoist {

/// The failure domains that have a usable server of one shard.
struct shard_location {
  std::set<std::string> failure_domains;
};

/// Shards to send through the relays of one failure domain.
struct relay_batch {
  std::string failure_domain;
  std::vector<std::size_t> shards;

  bool operator==(const relay_batch&) const = default;
};

/// Groups the shards of a request into batches so that the request crosses into
/// few failure domains. A greedy set cover: repeatedly assigns to the domain
/// with servers for most of the remaining shards all of these shards. Shards
/// with a server in the local domain stay in that domain; they form a batch
/// only if it is among the relay domains. Shards that are in no batch are sent
/// directly, as are those of batches too small to save work.
/// @param locations one entry per shard
/// @param local_domain failure domain of this instance
/// @param relay_domains failure domains that have a usable relay
/// @param rotation offset in the order of domains; breaks ties between domains
///   with equally many shards
std::vector<relay_batch> PlanRelayBatches(
    const std::vector<shard_location>& locations,
    const std::string& local_domain, const std::set<std::string>& relay_domains,
    std::size_t rotation);

}  // namespace basilhoist
