#include "basilhoist/rollout/rollout_judge.h"

#include <algorithm>
#include <cmath>

namespace basilhoist {
namespace {

// Fewer bad answers than this show nothing.
constexpr std::uint32_t kMinBad = 5;
// A version that is worse by less than this is not called bad: servers that
// pause or run at different speeds differ as much.
constexpr double kMinDifference = 0.1;
// Failures are rarer than slow answers at servers that run well, so fewer of
// them show a fault. A version that gets few requests, or turns bad late, would
// be completed otherwise.
constexpr std::uint32_t kMinFailed = 3;
constexpr double kMinFailedDifference = 0.04;
// After its fiftieth bad answer a bad version may get requests for the rollback
// delay only. From somewhat fewer failures on, a smaller difference suffices.
constexpr std::uint32_t kManyFailed = 40;
constexpr double kMinManyFailedDifference = 0.02;
// One-sided test. With 225 services rolled out, about one in three thousand
// good versions would be rejected by chance.
constexpr double kMinDeviations = 3;
// Buckets above the old version's median from which an answer is slow: 2.8
// times the median. Noise of servers that run well makes answers 2.5 times as
// slow.
constexpr std::size_t kSlowBuckets = 3;
// One crash may have any cause.
constexpr std::uint32_t kMinCrashes = 2;

struct bad_answers {
  std::uint32_t bad = 0;
  std::uint32_t all = 0;

  [[nodiscard]] double Share() const {
    return all == 0 ? 0 : static_cast<double>(bad) / all;
  }
};

bool IsWorse(const bad_answers& target, const bad_answers& old_version,
             std::uint32_t min_bad, double min_difference) {
  if (target.bad < min_bad || old_version.all == 0) return false;
  const double difference = target.Share() - old_version.Share();
  if (difference < min_difference) return false;
  const double pooled = static_cast<double>(target.bad + old_version.bad) /
                        (target.all + old_version.all);
  const double deviation = std::sqrt(
      pooled * (1 - pooled) * (1.0 / target.all + 1.0 / old_version.all));
  return deviation == 0 || difference >= kMinDeviations * deviation;
}

// Failures show a fault by themselves if there are many.
bool FailsAlone(const bad_answers& target, const bad_answers& old_version) {
  return old_version.all == 0 && target.bad >= kManyFailed &&
         target.Share() >= kMinDifference;
}

version_finding Finding(version_fault fault, std::uint64_t route,
                        const bad_answers& target,
                        const bad_answers& old_version) {
  return {.fault = fault,
          .route = route,
          .answers = target.all,
          .bad_share = target.Share(),
          .old_bad_share = old_version.Share()};
}

version_finding FindFaultOn(std::uint64_t route, const route_counts& counts) {
  const bad_answers failed{.bad = counts.target.failed,
                           .all = counts.target.Answers()};
  const bad_answers old_failed{.bad = counts.old_version.failed,
                               .all = counts.old_version.Answers()};
  const double min_difference = failed.bad < kManyFailed
                                    ? kMinFailedDifference
                                    : kMinManyFailedDifference;
  if (IsWorse(failed, old_failed, kMinFailed, min_difference) ||
      FailsAlone(failed, old_failed)) {
    return Finding(version_fault::kFails, route, failed, old_failed);
  }
  const std::size_t slow_from =
      counts.old_version.MedianBucket() + kSlowBuckets;
  const bad_answers slow{.bad = counts.target.SlowerThan(slow_from),
                         .all = counts.target.SlowerThan(0)};
  const bad_answers old_slow{.bad = counts.old_version.SlowerThan(slow_from),
                             .all = counts.old_version.SlowerThan(0)};
  if (IsWorse(slow, old_slow, kMinBad, kMinDifference)) {
    return Finding(version_fault::kSlow, route, slow, old_slow);
  }
  return {};
}

}  // namespace

std::string_view Name(version_fault value) {
  switch (value) {
    case version_fault::kNone:
      return "none";
    case version_fault::kFails:
      return "fails";
    case version_fault::kSlow:
      return "slow";
    case version_fault::kCrashes:
      return "crashes";
  }
  return "unknown";
}

route_counts rollout_totals::AllRoutes() const {
  route_counts all;
  for (const auto& [route, counts] : routes) {
    all.old_version += counts.old_version;
    all.target += counts.target;
  }
  all.old_version.failed += breaks_old;
  all.target.failed += breaks_target;
  return all;
}

// Reply times of different routes are not comparable, so all routes together
// show failures only.
version_finding FindFault(const rollout_totals& totals) {
  if (totals.crashed_target >= kMinCrashes &&
      totals.crashed_target > totals.crashed_old) {
    return {.fault = version_fault::kCrashes, .answers = totals.crashed_target};
  }
  for (const auto& [route, counts] : totals.routes) {
    const version_finding found = FindFaultOn(route, counts);
    if (found.fault != version_fault::kNone) return found;
  }
  const version_finding all = FindFaultOn(0, totals.AllRoutes());
  return all.fault == version_fault::kFails ? all : version_finding{};
}

}  // namespace basilhoist
