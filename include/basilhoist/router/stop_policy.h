// Decides the steps of a router's graceful shutdown.
#pragma once

#include <cstddef>
#include <cstdint>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// What a router does during its shutdown.
enum class stop_step : std::uint8_t {
  kServe,   ///< Accept and answer requests as before.
  kDrain,   ///< Accept no new connections; finish the requests in flight.
  kExpire,  ///< Answer the requests in flight as if their deadlines had passed.
  kExit,    ///< Stop the event loop, so that the process exits.
};

/// Derives the current step from the time since the shutdown was requested and
/// from the requests in flight.
class stop_policy {
 public:
  /// The load balancer probes readiness every second and removes a router after
  /// two failed probes. Until then it may still open connections.
  static constexpr milliseconds kBalancerLag{3000};
  /// The router exits after this time without a request in flight: a request in
  /// transit needs up to this long to arrive.
  static constexpr milliseconds kIdleBeforeExit{250};
  /// Requests in flight expire this long before the grace period ends, so that
  /// their answers are still sent.
  static constexpr milliseconds kExpireMargin{900};
  /// The router exits this long before the grace period ends, even with
  /// requests in flight.
  static constexpr milliseconds kExitMargin{500};

  /// @param requested_at when the shutdown was requested
  /// @param grace_period time from the request until the process is killed
  stop_policy(instant requested_at, milliseconds grace_period)
      : requested_at_(requested_at),
        grace_period_(grace_period),
        last_busy_at_(requested_at) {}

  /// @return when requests in flight expire
  [[nodiscard]] instant ExpiresAt() const {
    return requested_at_ + grace_period_ - kExpireMargin;
  }

  /// @param in_flight number of requests whose answer is not sent as a whole
  stop_step Next(std::size_t in_flight, instant now);

 private:
  instant requested_at_;
  milliseconds grace_period_;
  instant last_busy_at_;
};

}  // namespace basilhoist
