#include "basilhoist/dispatch/answer_policy.h"

namespace basilhoist {
namespace {

// Forgives rounding of shares such as 0.89.
constexpr double kRounding = 1e-9;

}  // namespace

bool Covers(std::size_t answered, std::size_t shards, double least_coverage) {
  return answered > 0 && static_cast<double>(answered) + kRounding >=
                             least_coverage * static_cast<double>(shards);
}

fan_out_decision DecideAnswer(const fan_out_progress& progress) {
  const bool enough =
      Covers(progress.answered, progress.shards, progress.least_coverage);
  const std::size_t possible = progress.shards - progress.failed;
  if (possible == progress.answered || progress.deadline_passed) {
    return enough ? fan_out_decision::kAnswer : fan_out_decision::kGiveUp;
  }
  if (!Covers(possible, progress.shards, progress.least_coverage)) {
    return fan_out_decision::kGiveUp;
  }
  return enough && progress.objective_passed ? fan_out_decision::kAnswer
                                             : fan_out_decision::kWait;
}

}  // namespace basilhoist
