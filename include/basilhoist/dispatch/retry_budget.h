// A limit on extra sends to a service, shared by all instances.
#pragma once

#include <array>
#include <cstdint>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// What all instances together may send in excess.
struct retry_budget_options {
  /// Extra sends for each request of the window.
  double ratio = 0.1;
  /// Extra sends that are allowed whatever the number of requests; each
  /// instance has its share of them.
  double fixed = 0;
  milliseconds window{10000};

  auto operator<=>(const retry_budget_options&) const = default;
};

/// Counts requests and extra sends of one service in a sliding window.
/// The parts of all instances add up to the whole limit, however the requests
/// are spread over them.
class retry_budget {
 public:
  /// Of the whole limit; the rest covers peers that count each other late.
  static constexpr double kUsableShare = 0.92;

  /// A request for the service has begun.
  void OnRequest(instant now, milliseconds window);

  /// @param share of this instance in what all of them share, 0 to 1
  /// @return whether one extra send is allowed; it is then counted
  bool Spend(const retry_budget_options& options, double share, instant now);

  /// An extra send was counted that reached no server.
  void Refund();

  /// @return the used share of what is allowed now, from 0 to 1
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

  // One more than the window holds, since the oldest is partly outside.
  std::array<bucket, kBuckets + 1> buckets_{};
  std::int64_t newest_bucket_ = 0;
  std::uint32_t requests_ = 0;
  std::uint32_t extra_sends_ = 0;
};

}  // namespace basilhoist
