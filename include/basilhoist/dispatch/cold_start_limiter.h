// Limits the request rate from this instance to a backend server in its cold
// start.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Request rate that a server accepts during its cold start, and the position
/// of this instance among those that share it.
struct cold_start_limit {
  /// Requests per second from all instances together; 0 sets no limit.
  double rate_per_s = 0;
  /// Number of instances that share the limit.
  std::size_t instances = 1;
  /// Rank of this instance in the order of instances for this server, from 0.
  std::size_t rank = 0;
};

/// Lets a few instances send to a server in its cold start, each with an equal
/// share of its rate. Each may be one request ahead of its share, so that in
/// any second the server gets at most its rate plus one request per sender.
class cold_start_limiter {
 public:
  /// Maximum number of instances that send to one server in its cold start.
  static constexpr std::size_t kMaxSenders = 4;

  /// Returns whether one more request may be sent to the server now.
  [[nodiscard]] bool Allows(std::uint64_t server, const cold_start_limit& limit,
                            instant now) const;

  /// Called when a request is sent to the server.
  void OnSent(std::uint64_t server, instant now) { last_sent_[server] = now; }

  void Forget(std::uint64_t server) { last_sent_.erase(server); }

 private:
  std::unordered_map<std::uint64_t, instant> last_sent_;  // by server key
};

}  // namespace basilhoist
