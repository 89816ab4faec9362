// How a router ends when it is asked to.
#pragma once

#include <cstddef>
#include <cstdint>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// What a stopping router does now.
enum class stop_step : std::uint8_t {
  kServe,   ///< Take and answer requests as before.
  kRefuse,  ///< Take no new connections; finish what is there.
  kGiveUp,  ///< Answer what is not done yet as if its time were up.
  kEnd,
};

/// Decides from the time since the router was asked to stop.
class stop_policy {
 public:
  /// A balancer asks each second and needs two answers to take a router out;
  /// until then new connections may still come.
  static constexpr milliseconds kBalancerLag{3000};
  /// A reply that was handed over needs this long at most to leave, and a
  /// request that was on its way to arrive.
  static constexpr milliseconds kQuietBeforeEnd{250};
  /// Kept back from the grace period for the last answers to leave.
  static constexpr milliseconds kGiveUpMargin{900};
  /// Kept back from the grace period.
  static constexpr milliseconds kEndMargin{500};

  stop_policy(instant asked, milliseconds grace_period)
      : asked_(asked), grace_period_(grace_period), last_busy_(asked) {}

  /// @param in_flight requests that are not answered
  stop_step Next(std::size_t in_flight, instant now);

 private:
  instant asked_;
  milliseconds grace_period_;
  instant last_busy_;
};

}  // namespace basilhoist
