#include "basilhoist/dispatch/rejection_pacing.h"

#include <algorithm>
#include <cmath>

#include "basilhoist/dispatch/server_stats.h"

namespace basilhoist {
namespace {

// Share of the calls that may still be rejected after their last attempt. A
// fan-out request tolerates this many missing shards.
constexpr double kRejectedShare = 0.02;
// Limits for an acceptance that is known from few sends.
constexpr double kMinAcceptance = 0.2;
constexpr double kMaxAcceptance = 0.9;
// A shorter delay would spend the retry budget within one pause of the server;
// a longer one wastes the time left.
constexpr microseconds kMinDelay = milliseconds(4);
constexpr microseconds kMaxDelay = milliseconds(100);

}  // namespace

std::optional<microseconds> DelayAfterRejection(const rejected_call& call) {
  const bool meets_objective = call.objective_left > call.reply_time;
  const microseconds usable =
      (meets_objective ? call.objective_left : call.deadline_left) -
      call.reply_time;
  const double acceptance =
      std::clamp(call.acceptance, kMinAcceptance, kMaxAcceptance);
  const double attempts =
      std::ceil(std::log(kRejectedShare) / std::log(1 - acceptance));
  const auto spaced = microseconds(static_cast<std::int64_t>(
      static_cast<double>(usable.count()) / attempts));
  const microseconds delay = std::clamp(spaced, kMinDelay, kMaxDelay);
  if (delay < usable) return delay;
  // The last attempt before the objective is followed by later ones.
  if (meets_objective && call.deadline_left - call.reply_time > delay) {
    return delay;
  }
  return std::nullopt;
}

// The average acceptance recovers with time, also while the server is full, so
// that it is tried again. The rejections in a row show what it accepts now.
double ChanceOfAcceptance(const rejected_call& call) {
  const microseconds usable = call.objective_left - call.reply_time;
  const auto delay = DelayAfterRejection(call);
  if (usable <= microseconds(0) || !delay) return 0;
  const bool is_full = call.rejections_in_a_row >= server_stats::kFullRefusals;
  const microseconds interval =
      is_full ? std::max<microseconds>(*delay, server_stats::kShedAvoid)
              : *delay;
  const double attempts = std::floor(static_cast<double>(usable.count()) /
                                     static_cast<double>(interval.count()));
  const double acceptance =
      std::min(call.acceptance, 1.0 / (call.rejections_in_a_row + 2));
  return 1 - std::pow(1 - acceptance, attempts);
}

}  // namespace basilhoist
