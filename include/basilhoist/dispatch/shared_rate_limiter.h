// Limits the request rate of all instances together to a backend server.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// A request rate that instances share, and the position of this instance among
/// them.
struct shared_rate {
  /// Requests per second from all instances together; 0 sets no limit.
  double per_s = 0;
  /// Requests that all instances together may be ahead of the rate. Each sender
  /// may be ahead by one at least, so this limits the number of senders.
  double burst = 1;
  /// Number of instances that share the rate.
  std::size_t instances = 1;
  /// Rank of this instance in the order of instances for this server, from 0.
  std::size_t rank = 0;

  auto operator<=>(const shared_rate&) const = default;

  /// @return number of instances that send to the server, each with an equal
  ///   share of the rate and the burst; at least 1
  [[nodiscard]] std::size_t Senders() const;
};

/// Lets the first instances of a server's order send to it, each with a token
/// bucket. In any time t the server gets at most per_s * t + burst requests.
class shared_rate_limiter {
 public:
  /// @return when this instance may send its next request to the server, a time
  ///   in the past if it may send now; nothing if it is not a sender
  [[nodiscard]] std::optional<instant> NextSend(std::uint64_t server,
                                                const shared_rate& rate,
                                                instant now) const;

  [[nodiscard]] bool Allows(std::uint64_t server, const shared_rate& rate,
                            instant now) const {
    const auto next = NextSend(server, rate, now);
    return next && *next <= now;
  }

  /// Called when a request is sent to the server.
  void OnSent(std::uint64_t server, const shared_rate& rate, instant now);

  /// Makes this instance wait for its next request to the server, as if it had
  /// just used its share of the burst.
  void Exhaust(std::uint64_t server, instant now);

  void Forget(std::uint64_t server) { buckets_.erase(server); }

 private:
  struct bucket {
    double tokens = 0;
    instant at;
  };

  [[nodiscard]] double TokensAt(std::uint64_t server, const shared_rate& rate,
                                instant now) const;

  std::unordered_map<std::uint64_t, bucket> buckets_;  // by server
};

}  // namespace basilhoist
