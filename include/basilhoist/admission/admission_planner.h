// Decides which part of each class of requests should be admitted, from the
// loads that an instance observes. Addresses bursts of one workspace or of one
// kind of request while many servers are slow or silent: without it, queues at
// the last good server of some shards make nearly all fan-out requests late.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "basilhoist/admission/admission_reports.h"
#include "basilhoist/admission/decaying_sum.h"
#include "basilhoist/admission/overload_estimate.h"

namespace basilhoist {

/// Observes admitted requests and plans shares for each set of services.
class admission_planner {
 public:
  /// Time between two updates of a plan.
  static constexpr milliseconds kPeriod{250};
  /// Weighted number of recent requests below which no plan is made.
  static constexpr double kMinRequests = 5;

  /// @param origin identifies this instance in its reports
  explicit admission_planner(std::uint64_t origin) : origin_(origin) {}

  /// Called when this instance sends or relays an admitted request.
  /// @param cost of the request relative to others of the same services
  void OnRequest(const admission_class& requests, double cost, instant now);

  /// Updates the plan of a set of services; called each kPeriod.
  /// @param reports what is applied now, by this instance's peers too
  /// @return the report for peers; nothing if all requests can be admitted and
  ///   no instance reports otherwise
  std::optional<admission_report> Update(std::uint64_t service_set,
                                         const shard_set_load& load,
                                         const admission_reports& reports,
                                         instant now);

  /// @return whether enough requests to the services were observed recently
  ///   for a plan
  bool Observes(std::uint64_t service_set, instant now);

 private:
  static constexpr milliseconds kHalfLife{800};

  struct arrivals {
    decaying_sum cost{kHalfLife};
    // The share that peers applied when the requests in `cost` arrived: behind
    // the reported one by the time that a report takes, and averaged as long.
    double reported_share = 1;
    double applied_share = 1;
  };
  using class_key = std::pair<unsigned, std::uint64_t>;  // priority, workspace
  struct plan {
    decaying_sum requests{kHalfLife};
    std::map<class_key, arrivals> classes;
    bool limits = false;
    double capacity = 0;  // cost per second, while it limits
  };

  void FollowShares(std::uint64_t service_set, plan& state,
                    const admission_reports& reports, instant now) const;
  static void UpdateCapacity(plan& state, const shard_set_load& load,
                             instant now);
  [[nodiscard]] static std::vector<admission_report_share> Shares(
      const plan& state, instant now);

  std::uint64_t origin_;
  std::map<std::uint64_t, plan> plans_;  // by set of services
};

}  // namespace basilhoist
