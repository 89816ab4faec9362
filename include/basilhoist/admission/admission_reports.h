// Reports between instances about which part of the requests the servers of a
// set of services can take. Instances that relay make most of the sends and
// notice it; the others see too few requests to know.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "basilhoist/admission/admission_class.h"
#include "basilhoist/base/clock.h"
#include "basilhoist/link/messages.h"

namespace basilhoist {

/// The share of a class of requests to admit, and what it is based on.
struct admitted_share {
  double share = 1;         ///< 0 to 1.
  microseconds age{0};      ///< Of the newest report.
  std::size_t reports = 0;  ///< Instances whose reports apply.

  auto operator<=>(const admitted_share&) const = default;
};

/// The newest report of each instance. A report expires unless its origin
/// renews it, whoever passes it on.
class admission_reports {
 public:
  /// A report is applied in full for the first part of its lifetime; then its
  /// effect decreases. Gossip takes up to 1.5 s between failure domains.
  static constexpr milliseconds kFullEffect{1500};
  static constexpr milliseconds kLifetime{3000};
  /// Least share that a report causes, so that a wrong one shuts no one out.
  static constexpr double kMinShare = 0.05;
  /// Limits the memory that wrong reports can use.
  static constexpr std::size_t kMaxReports = 64;
  static constexpr std::size_t kMaxShares = 16;

  void OnReports(const std::vector<admission_report>& reports, instant now);

  /// @return reports to send to peers, the newest ones, with their present ages
  [[nodiscard]] std::vector<admission_report> NextReports(std::size_t max,
                                                          instant now) const;

  /// @return the mean of what the instances report
  [[nodiscard]] admitted_share ShareOf(const admission_class& requests,
                                       instant now) const;

  /// @return whether a valid report limits requests to the services
  [[nodiscard]] bool Knows(std::uint64_t service_set, instant now) const;

  /// @return the number of valid reports
  [[nodiscard]] std::size_t Size(instant now) const;

 private:
  struct key {
    std::uint64_t service_set = 0;
    std::uint64_t origin = 0;
    auto operator<=>(const key&) const = default;
  };
  struct record {
    admission_report report;
    instant made_at;
  };

  void RemoveExpired(instant now);
  /// Removes the oldest report if it was made before a time, so that reports
  /// that are no longer renewed make room.
  bool RemoveOlderThan(instant time);
  static double ShareIn(const admission_report& report,
                        const admission_class& requests);

  std::map<key, record> records_;
};

}  // namespace basilhoist
