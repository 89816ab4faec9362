// Which servers a relay and the sender of its batch may use for one shard.
// Addresses windows in which many servers are slow or silent: a relay that
// chose from a fixed set of the allowed size found no good server for 8% of the
// shards when 28% of three servers each were bad.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/directory/server_directory.h"

namespace basilhoist {

/// Part that an instance takes in a relayed request.
enum class relay_part : std::uint8_t {
  kNone,         ///< The request is not relayed.
  kFixedRelay,   ///< A relay whose sender may use all servers of the fixed set.
  kRelay,        ///< A relay whose sender uses only reserved servers.
  kSenderAfter,  ///< The sender, after it has lost the relay.
};

/// What the relay and the sender agree on without a message.
struct relay_rule {
  relay_part part = relay_part::kNone;
  /// Failure domain of the relay.
  std::string relay_domain;
  std::string request_id;
  /// Limit on the servers that may run the request.
  std::size_t max_servers = 1;
};

/// Selects the servers that a call may use so that the relay and its sender
/// together reach no more than `max_servers`. Both know the same order of the
/// servers, some of which are reserved: the sender uses only these, and the
/// relay any other ones as far as the limit leaves room beside them.
/// @param usable the servers that the directory allows
/// @param tried keys of the servers that may have run the request for this call
std::vector<listed_server_ptr> RelayCandidates(
    std::vector<listed_server_ptr> usable, const std::set<std::uint64_t>& tried,
    const relay_rule& rule);

}  // namespace basilhoist
