// How much a cold backend server gets from this instance.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// What a cold server bears, and who else may send to it.
struct cold_start_limit {
  /// Requests a second from all instances together; 0 sets no limit.
  double rate_per_s = 0;
  /// Instances that share the limit.
  std::size_t instances = 1;
  /// This instance's place in the server's own order of instances, from 0.
  std::size_t rank = 0;
};

/// Lets a few instances send to a cold server, each an equal part of its rate.
/// Each may be ahead by one request, so that in any second the server gets at
/// most its rate and one request for each of them.
class cold_start_limiter {
 public:
  /// Instances that send to one cold server.
  static constexpr std::size_t kMaxSenders = 4;

  /// @return whether one more request may be sent to the server now
  [[nodiscard]] bool Allows(std::uint64_t server, const cold_start_limit& limit,
                            instant now) const;

  /// A request was sent to it.
  void OnSent(std::uint64_t server, instant now) { last_sent_[server] = now; }

  void Forget(std::uint64_t server) { last_sent_.erase(server); }

 private:
  std::unordered_map<std::uint64_t, instant> last_sent_;
};

}  // namespace basilhoist
