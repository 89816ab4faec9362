#include "basilhoist/dispatch/server_stats.h"

#include <algorithm>

namespace basilhoist {
namespace {

// Weight of the newest reply in the moving averages. A server that becomes slow
// must be detected within a few replies, while a single late reply must have
// little effect.
constexpr double kSlownessWeight = 0.15;
constexpr double kFailureWeight = 0.1;
// Limits the effect of one very late reply.
constexpr double kMaxSlowness = 20;
// A server is stalled if a request has been in flight for this multiple of its
// expected reply time.
constexpr int kStalledFactor = 3;

}  // namespace

void server_stats::OnSent(std::uint64_t server, std::uint64_t send,
                          microseconds expected, instant now) {
  records_[server].sends.push_back(
      {.send = send, .since = now, .expected = expected});
}

void server_stats::OnEnd(std::uint64_t server, std::uint64_t send,
                         send_result result, instant now) {
  const auto found = records_.find(server);
  if (found == records_.end()) return;
  record& stats = found->second;
  const auto at =
      std::find_if(stats.sends.begin(), stats.sends.end(),
                   [send](const pending& each) { return each.send == send; });
  if (at == stats.sends.end()) return;
  const double actual = static_cast<double>((now - at->since).count());
  const double expected =
      std::max(1.0, static_cast<double>(at->expected.count()));
  const double ratio = std::min(kMaxSlowness, actual / expected);
  stats.sends.erase(at);
  const bool late = result == send_result::kAbandoned && ratio > stats.slowness;
  if (result == send_result::kReplied || late) {
    stats.slowness += kSlownessWeight * (ratio - stats.slowness);
  }
  if (result == send_result::kAbandoned) return;
  const bool failed = result == send_result::kFailed ||
                      result == send_result::kConnectionBroken;
  stats.failure_share +=
      kFailureWeight * ((failed ? 1 : 0) - stats.failure_share);
  if (result == send_result::kConnectionBroken) {
    const unsigned doublings = std::min(stats.consecutive_breaks++, 8U);
    stats.avoid_until =
        now + std::min(kMaxAvoid, kMinAvoid * (1U << doublings));
  } else {
    stats.consecutive_breaks = 0;
    if (result == send_result::kShed) stats.avoid_until = now + kShedAvoid;
  }
}

server_health server_stats::HealthOf(std::uint64_t server, instant now) const {
  const auto found = records_.find(server);
  if (found == records_.end()) return {};
  const record& stats = found->second;
  server_health health{.in_flight = static_cast<unsigned>(stats.sends.size()),
                       .slowness = stats.slowness,
                       .failure_share = stats.failure_share,
                       .avoid_until = stats.avoid_until};
  health.stalled = std::any_of(
      stats.sends.begin(), stats.sends.end(), [now](const pending& each) {
        return now - each.since > each.expected * kStalledFactor;
      });
  return health;
}

}  // namespace basilhoist
