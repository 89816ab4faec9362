#include "basilhoist/dispatch/server_stats.h"

#include <algorithm>

namespace basilhoist {
namespace {

// Weight of the newest reply in the moving averages. A server that turns slow
// is to be seen within a few replies, one late reply is to count for little.
constexpr double kSlownessWeight = 0.15;
constexpr double kFailureWeight = 0.1;
constexpr double kMostSlowness = 20;
// A request in flight for so many times the usual time marks its server.
constexpr int kStalledFactor = 3;

}  // namespace

void server_stats::OnSent(std::uint64_t server, std::uint64_t send,
                          microseconds usual, instant now) {
  records_[server].sends.push_back(
      {.send = send, .since = now, .usual = usual});
}

void server_stats::OnEnd(std::uint64_t server, std::uint64_t send, send_end how,
                         instant now) {
  const auto found = records_.find(server);
  if (found == records_.end()) return;
  record& known = found->second;
  const auto at =
      std::find_if(known.sends.begin(), known.sends.end(),
                   [send](const pending& each) { return each.send == send; });
  if (at == known.sends.end()) return;
  const double took = static_cast<double>((now - at->since).count());
  const double usual = std::max(1.0, static_cast<double>(at->usual.count()));
  const double ratio = std::min(kMostSlowness, took / usual);
  known.sends.erase(at);
  const bool late = how == send_end::kAbandoned && ratio > known.slowness;
  if (how == send_end::kAnswered || late) {
    known.slowness += kSlownessWeight * (ratio - known.slowness);
  }
  if (how == send_end::kAbandoned) return;
  const bool failed = how == send_end::kFailed || how == send_end::kBroken;
  known.failure_share +=
      kFailureWeight * ((failed ? 1 : 0) - known.failure_share);
  if (how == send_end::kBroken) {
    const unsigned doublings = std::min(known.broken_in_a_row++, 8U);
    known.avoid_until =
        now + std::min(kLongestAvoid, kFirstAvoid * (1U << doublings));
  } else {
    known.broken_in_a_row = 0;
    if (how == send_end::kShed) known.avoid_until = now + kShedAvoid;
  }
}

server_standing server_stats::Of(std::uint64_t server, instant now) const {
  const auto found = records_.find(server);
  if (found == records_.end()) return {};
  const record& known = found->second;
  server_standing standing{
      .in_flight = static_cast<unsigned>(known.sends.size()),
      .slowness = known.slowness,
      .failure_share = known.failure_share,
      .avoid_until = known.avoid_until};
  standing.stalled = std::any_of(
      known.sends.begin(), known.sends.end(), [now](const pending& each) {
        return now - each.since > each.usual * kStalledFactor;
      });
  return standing;
}

}  // namespace basilhoist
