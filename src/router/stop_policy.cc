#include "basilhoist/router/stop_policy.h"

namespace basilhoist {

stop_step stop_policy::Next(std::size_t in_flight, instant now) {
  if (in_flight > 0) last_busy_ = now;
  const microseconds since = now - asked_;
  if (since >= grace_period_ - kEndMargin) return stop_step::kEnd;
  if (since >= grace_period_ - kGiveUpMargin && in_flight > 0) {
    return stop_step::kGiveUp;
  }
  if (since < kBalancerLag) return stop_step::kServe;
  return now - last_busy_ >= kQuietBeforeEnd ? stop_step::kEnd
                                             : stop_step::kRefuse;
}

}  // namespace basilhoist
