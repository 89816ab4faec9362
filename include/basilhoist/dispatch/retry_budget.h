// Limits the extra sends (retries and hedged sends) to a service. All instances
// share the limit.
#pragma once

#include <array>
#include <cstdint>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Limit on the extra sends of all instances together.
struct retry_budget_options {
  /// Extra sends allowed per request within the window.
  double ratio = 0.1;
  /// Extra sends allowed in addition, regardless of the number of requests;
  /// each instance gets its share of them.
  double fixed = 0;
  milliseconds window{10000};

  auto operator<=>(const retry_budget_options&) const = default;
};

/// Counts the requests and extra sends of one service in a sliding window.
/// The limits of all instances add up to the whole limit, however the requests
/// are distributed over them.
class retry_budget {
 public:
  /// Fraction of the limit that is used. The rest is a margin for the delay
  /// until instances know of each other.
  static constexpr double kUsableShare = 0.92;

  /// Called when a request for the service begins.
  void OnRequest(instant now, milliseconds window);

  /// Counts one extra send if the budget allows it.
  /// @param share this instance's share of the fixed limit, 0 to 1
  /// @return whether the extra send is allowed
  bool Spend(const retry_budget_options& options, double share, instant now);

  /// Takes back one counted extra send that reached no server.
  void Refund();

  /// Returns the used fraction of the current limit, from 0 to 1.
  [[nodiscard]] double Utilization(const retry_budget_options& options,
                                   double share, instant now);

 private:
  static constexpr std::size_t kBuckets = 20;

  struct bucket {
    std::uint32_t requests = 0;
    std::uint32_t extra_sends = 0;
  };

  void AdvanceTo(instant now, milliseconds window);
  [[nodiscard]] double Limit(const retry_budget_options& options,
                             double share) const;

  // One more bucket than the window spans, since the oldest one is partly
  // outside the window.
  std::array<bucket, kBuckets + 1> buckets_{};
  std::int64_t newest_bucket_ = 0;  // number of bucket widths since boot
  std::uint32_t requests_ = 0;
  std::uint32_t extra_sends_ = 0;
};

}  // namespace basilhoist
