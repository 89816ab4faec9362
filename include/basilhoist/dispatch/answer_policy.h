// Decides when a fan-out request is answered and whether a partial answer is
// sent.
#pragma once

#include <cstddef>
#include <cstdint>

namespace basilhoist {

/// Progress of a request that is fanned out to many shards.
struct fan_out_progress {
  std::size_t shards = 0;
  std::size_t answered = 0;
  std::size_t failed = 0;
  /// Minimum share of the shards that a successful answer covers, 0 to 1.
  double min_coverage = 1;
  bool objective_passed = false;
  bool deadline_passed = false;
};

/// Next step of a fan-out request.
enum class fan_out_decision : std::uint8_t {
  kWait,
  kAnswer,  ///< With the shard results that have arrived.
  kGiveUp,  ///< The minimum coverage cannot be reached in time.
};

/// Decides whether to answer now. Until the latency objective, the request
/// waits for every outstanding shard. After it, an answer with the minimum
/// coverage is sent at once, because a further shard result is worth less than
/// the delay costs.
fan_out_decision DecideAnswer(const fan_out_progress& progress);

/// @return whether `answered` of `shards` shards reach the minimum coverage
bool MeetsCoverage(std::size_t answered, std::size_t shards,
                   double min_coverage);

}  // namespace basilhoist
