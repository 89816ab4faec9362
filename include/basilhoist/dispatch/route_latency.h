// Reply latencies of routes, and the delays of hedged sends that follow from
// them.
#pragma once

#include "basilhoist/route/latency_window.h"

namespace basilhoist {

/// Reply latency of a route's first sends.
class route_latency {
 public:
  /// Records the latency of a reply to a first send.
  void Add(microseconds latency) { window_.Add(latency); }

  /// @param objective the route's latency objective, from which the latency is
  ///   estimated until there are enough replies
  /// @return the typical latency, the 75th percentile
  [[nodiscard]] microseconds TypicalLatency(microseconds objective) const;

  /// @param time_left time until the answer must be sent
  /// @param budget_utilization used share of the retry budget, 0 to 1
  /// @return the delay between a first send and the hedged send
  [[nodiscard]] microseconds HedgeDelay(microseconds objective,
                                        microseconds time_left,
                                        double budget_utilization) const;

 private:
  // The 75th percentile excludes slow and paused servers unless they give more
  // than a quarter of the replies.
  static constexpr double kTypicalQuantile = 0.75;
  latency_window window_{kTypicalQuantile};
};

}  // namespace basilhoist
