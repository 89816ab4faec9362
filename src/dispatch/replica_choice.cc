#include "basilhoist/dispatch/replica_choice.h"

#include <algorithm>

namespace basilhoist {
namespace {

// All weights and penalties are multiples of the typical reply time.

// Added by each request of this instance in flight, for a server with one slot.
// Requests of other instances are not known.
constexpr double kQueueWeight = 1.0;
// A paused server does not reply for several typical reply times.
constexpr double kStalledPenalty = 8;
// Factor on the slowness of a server in its cold start.
constexpr double kColdPenalty = 1.5;
// Lower than for a stalled server, higher than for a busy one.
constexpr double kMissingPenalty = 4;
// A failed send requires a second one.
constexpr double kFailurePenalty = 6;
// A send that is refused costs a send of the retry budget and the wait until
// the next one. Higher than kRemotePenalty for a server that refuses every
// third send.
constexpr double kRefusalPenalty = 2;
// Limits the number of sends that are expected at a server that refuses all.
constexpr double kMinAcceptance = 0.05;
// Traffic and latency between failure domains; less than one request in flight
// at a server with one slot.
constexpr double kRemotePenalty = 0.9;
// Spreads requests over replicas that are otherwise equal.
constexpr double kTieSpread = 0.2;

}  // namespace

double ExpectedTime(const replica_candidate& candidate, double tie) {
  const server_health& health = candidate.health;
  double time = std::max(health.slowness, candidate.reported_slowness) *
                (candidate.cold ? kColdPenalty : 1);
  time *= 1 + kQueueWeight * health.in_flight /
                  (candidate.slots > 0 ? candidate.slots : 1);
  time += kFailurePenalty * health.failure_share;
  time +=
      kRefusalPenalty * (1 / std::max(kMinAcceptance, health.acceptance) - 1);
  if (health.stalled) time += kStalledPenalty;
  if (candidate.missing) time += kMissingPenalty;
  if (!candidate.local) time += kRemotePenalty;
  return time + kTieSpread * tie;
}

std::optional<std::size_t> ChooseReplica(
    const std::vector<replica_candidate>& replicas, double tie) {
  std::optional<std::size_t> best;
  double shortest = 0;
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    const replica_candidate& each = replicas[i];
    // Alternates, so that the same random number favors either the even or the
    // odd candidates.
    const double time = ExpectedTime(each, i % 2 == 0 ? tie : 1 - tie);
    if (best && time >= shortest) continue;
    best = i;
    shortest = time;
  }
  return best;
}

}  // namespace basilhoist
