#include "basilhoist/dispatch/replica_choice.h"

namespace basilhoist {
namespace {

// What each request of this instance in flight adds for a server with one
// slot, in usual times; other instances' requests are not seen.
constexpr double kQueueWeight = 1.0;
// A paused server answers nothing for several usual times.
constexpr double kStalledPenalty = 8;
constexpr double kColdPenalty = 1.5;
// Less than a stalled server, more than a busy one.
constexpr double kMissingPenalty = 4;
// A failed send costs a second one.
constexpr double kFailurePenalty = 6;
// Bytes and delay between failure domains; far less than a busy slot.
constexpr double kRemotePenalty = 0.9;
// Spreads what is equal over the replicas.
constexpr double kTieSpread = 0.2;

}  // namespace

double ExpectedTime(const replica_candidate& candidate, double tie) {
  const server_health& known = candidate.health;
  double time = known.slowness * (candidate.cold ? kColdPenalty : 1);
  time *= 1 + kQueueWeight * known.in_flight /
                  (candidate.slots > 0 ? candidate.slots : 1);
  time += kFailurePenalty * known.failure_share;
  if (known.stalled) time += kStalledPenalty;
  if (candidate.missing) time += kMissingPenalty;
  if (!candidate.local) time += kRemotePenalty;
  return time + kTieSpread * tie;
}

std::optional<std::size_t> ChooseReplica(
    const std::vector<replica_candidate>& replicas, double tie) {
  std::optional<std::size_t> best;
  double least = 0;
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    const replica_candidate& each = replicas[i];
    // The tie favours one replica or the other, not all of them.
    const double time = ExpectedTime(each, i % 2 == 0 ? tie : 1 - tie);
    if (best && time >= least) continue;
    best = i;
    least = time;
  }
  return best;
}

}  // namespace basilhoist
