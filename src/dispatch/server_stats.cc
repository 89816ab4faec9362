#include "basilhoist/dispatch/server_stats.h"

#include <algorithm>
#include <cmath>

namespace basilhoist {
namespace {

// Weights of the newest reply in the average slowness. A pause makes one reply
// late and ends soon, so a first late reply has little weight. Further ones in
// a row show a server that is slow or silent. A reply that is faster than the
// average has as much weight, since it shows that the server has recovered.
constexpr double kSlownessWeight = 0.2;
constexpr double kFirstLateWeight = 0.12;
constexpr double kLaterLateWeight = 0.5;
constexpr double kRecoveryWeight = 0.5;
// A reply that takes this multiple of its expected time is late.
constexpr double kLateFactor = 3;
constexpr double kFailureWeight = 0.1;
constexpr double kRefusalWeight = 0.15;
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
  Relax(stats, now);
  stats.last_end = now;
  // A connection that could not be established in time is as silent as a reply
  // that does not arrive.
  const bool unanswered = result == send_result::kAbandoned ||
                          result == send_result::kConnectionBroken;
  if (result == send_result::kReplied ||
      (unanswered && ratio > stats.slowness)) {
    UpdateSlowness(stats, ratio);
  }
  if (!unanswered) stats.last_reply = now;
  if (result == send_result::kAbandoned) return;
  const bool failed = result == send_result::kFailed ||
                      result == send_result::kConnectionBroken;
  stats.failure_share +=
      kFailureWeight * ((failed ? 1 : 0) - stats.failure_share);
  const bool refused = result == send_result::kShed;
  stats.acceptance += kRefusalWeight * ((refused ? 0 : 1) - stats.acceptance);
  UpdateAvoidance(stats, result, now);
}

void server_stats::Relax(record& stats, instant now) {
  const double half_lives =
      static_cast<double>(
          std::max(now - stats.averages_at, microseconds(0)).count()) /
      static_cast<double>(microseconds(kHalfLife).count());
  const double kept = std::exp2(-half_lives);
  stats.slowness = 1 + (stats.slowness - 1) * kept;
  stats.failure_share *= kept;
  stats.acceptance = 1 - (1 - stats.acceptance) * kept;
  stats.averages_at = std::max(stats.averages_at, now);
}

void server_stats::UpdateSlowness(record& stats, double ratio) {
  double weight = kSlownessWeight;
  if (ratio >= kLateFactor) {
    weight =
        ++stats.consecutive_late == 1 ? kFirstLateWeight : kLaterLateWeight;
  } else {
    stats.consecutive_late = 0;
    if (ratio < stats.slowness) weight = kRecoveryWeight;
  }
  stats.slowness += weight * (ratio - stats.slowness);
}

void server_stats::UpdateAvoidance(record& stats, send_result result,
                                   instant now) {
  if (result == send_result::kConnectionBroken) {
    const unsigned doublings = std::min(stats.consecutive_breaks++, 8U);
    stats.avoid_until =
        now + std::min(kMaxAvoid, kMinAvoid * (1U << doublings));
    return;
  }
  stats.consecutive_breaks = 0;
  if (result != send_result::kShed) {
    stats.consecutive_refusals = 0;
  } else if (++stats.consecutive_refusals >= kFullRefusals) {
    stats.avoid_until = now + kShedAvoid;
  }
}

server_health server_stats::HealthOf(std::uint64_t server, instant now) const {
  const auto found = records_.find(server);
  if (found == records_.end()) return {};
  record averages{.slowness = found->second.slowness,
                  .failure_share = found->second.failure_share,
                  .acceptance = found->second.acceptance,
                  .averages_at = found->second.averages_at};
  Relax(averages, now);
  const record& stats = found->second;
  server_health health{.in_flight = static_cast<unsigned>(stats.sends.size()),
                       .slowness = averages.slowness,
                       .failure_share = averages.failure_share,
                       .acceptance = averages.acceptance,
                       .consecutive_refusals = stats.consecutive_refusals,
                       .avoid_until = stats.avoid_until,
                       .last_reply = stats.last_reply,
                       .last_end = stats.last_end};
  health.stalled = std::any_of(
      stats.sends.begin(), stats.sends.end(), [now](const pending& each) {
        return now - each.since > each.expected * kStalledFactor;
      });
  return health;
}

}  // namespace basilhoist
