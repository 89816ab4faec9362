#include "basilhoist/dispatch/route_latency.h"

#include <algorithm>

namespace basilhoist {
namespace {

// Until there are enough replies, the typical latency is estimated as this
// fraction of the latency objective: objective / 6.
constexpr int kInitialLatencyDivisor = 6;
// Shortest hedge delay, in typical latencies. Covers the variance of service
// time and network.
constexpr double kMinHedgeFactor = 1.7;
constexpr milliseconds kMinHedgeDelay{6};
// Time, in typical latencies, in which nearly all hedged sends are answered.
constexpr double kHedgeReplyFactor = 2;

}  // namespace

microseconds route_latency::TypicalLatency(microseconds objective) const {
  return window_.Quantile(objective / kInitialLatencyDivisor);
}

// While the retry budget is unused, the delay is short, which gives an early
// answer. As the budget is used up, the delay grows to the latest at which a
// hedged send can still be answered in time; most first sends are answered by
// then and need no hedged send.
microseconds route_latency::HedgeDelay(microseconds objective,
                                       microseconds time_left,
                                       double budget_utilization) const {
  const auto typical = static_cast<double>(TypicalLatency(objective).count());
  const double early = typical * kMinHedgeFactor;
  const double late = std::max(early, static_cast<double>(time_left.count()) -
                                          typical * kHedgeReplyFactor);
  const double delay =
      early + (late - early) * budget_utilization * budget_utilization;
  return std::max<microseconds>(kMinHedgeDelay,
                                microseconds(static_cast<std::int64_t>(delay)));
}

}  // namespace basilhoist
