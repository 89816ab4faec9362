#include "basilhoist/router/stop_policy.h"

namespace basilhoist {

stop_step stop_policy::Next(std::size_t in_flight, instant now) {
  if (in_flight > 0) last_busy_at_ = now;
  const microseconds since = now - requested_at_;
  if (since >= grace_period_ - kExitMargin) return stop_step::kExit;
  if (now >= ExpiresAt() && in_flight > 0) return stop_step::kExpire;
  if (since < kBalancerLag) return stop_step::kServe;
  return now - last_busy_at_ >= kIdleBeforeExit ? stop_step::kExit
                                                : stop_step::kDrain;
}

}  // namespace basilhoist
