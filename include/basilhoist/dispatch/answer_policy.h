// When a request over many shards is answered, and with how much.
#pragma once

#include <cstddef>
#include <cstdint>

namespace basilhoist {

/// How far a request over many shards has come.
struct fan_out_progress {
  std::size_t shards = 0;
  std::size_t answered = 0;
  std::size_t failed = 0;
  double min_coverage = 1;
  bool objective_passed = false;
  bool deadline_passed = false;
};

/// What to do now.
enum class fan_out_decision : std::uint8_t {
  kWait,
  kAnswer,  ///< With the parts that are in.
  kGiveUp,  ///< Coverage cannot suffice any more, or not in time.
};

/// A part that comes after the objective is worth less than the answer loses
/// by waiting for it; before the objective every part counts.
fan_out_decision DecideAnswer(const fan_out_progress& progress);

/// @return whether so many shards are a success
bool MeetsCoverage(std::size_t answered, std::size_t shards,
                   double min_coverage);

}  // namespace basilhoist
