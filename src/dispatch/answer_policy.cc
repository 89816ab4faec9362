#include "basilhoist/dispatch/answer_policy.h"

namespace basilhoist {
namespace {

// Tolerance for the rounding error of coverage values such as 0.89.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

bool MeetsCoverage(std::size_t answered, std::size_t shards,
                   double min_coverage) {
  return answered > 0 && static_cast<double>(answered) + kRoundingTolerance >=
                             min_coverage * static_cast<double>(shards);
}

fan_out_decision DecideAnswer(const fan_out_progress& progress) {
  const bool enough =
      MeetsCoverage(progress.answered, progress.shards, progress.min_coverage);
  const std::size_t possible = progress.shards - progress.failed;
  if (possible == progress.answered || progress.deadline_passed) {
    return enough ? fan_out_decision::kAnswer : fan_out_decision::kGiveUp;
  }
  if (!MeetsCoverage(possible, progress.shards, progress.min_coverage)) {
    return fan_out_decision::kGiveUp;
  }
  return enough && progress.objective_passed ? fan_out_decision::kAnswer
                                             : fan_out_decision::kWait;
}

}  // namespace basilhoist
