#include "basilhoist/route/server_table.h"

#include <algorithm>
#include <utility>

namespace basilhoist {
namespace {

constexpr double kNewSampleWeight = 0.1;
constexpr double kUnknownLatencyUs = 5000;
// A server that failed is left alone for this long at first, then twice as
// long after each further failure.
constexpr microseconds kFirstAvoidance = milliseconds(100);
constexpr microseconds kLongestAvoidance = milliseconds(1000);

bool IsTrouble(reason why) {
  return why == reason::kServerFailed || why == reason::kNoOwner ||
         why == reason::kWarmingUp || why == reason::kLinkFailed ||
         why == reason::kOverLimit;
}

}  // namespace

void server_table::OnSent(const std::string& server) {
  record& known = records_[server];
  ++known.outstanding;
  ++known.sent_since_load;
}

void server_table::OnReply(const std::string& server, const subreply& reply,
                           microseconds took, instant now) {
  record& known = records_[server];
  if (known.outstanding > 0) --known.outstanding;
  known.load = reply.load;
  known.sent_since_load = 0;
  if (reply.newest_version != 0) {
    known.versions = {reply.oldest_version, reply.newest_version};
  }
  known.draining = reply.why == reason::kDraining;
  if (reply.outcome == verdict::kDone) {
    const double sample = static_cast<double>(
        std::max<std::int64_t>(0, took.count() - reply.queue_wait_us));
    known.latency_us =
        known.latency_us == 0
            ? sample
            : known.latency_us + kNewSampleWeight * (sample - known.latency_us);
    known.avoid_for = microseconds(0);
    known.avoid_until = instant();
  } else if (IsTrouble(reply.why)) {
    const auto hinted = microseconds(milliseconds(reply.retry_after_ms));
    known.avoid_until = now + std::max(hinted, kFirstAvoidance);
  }
}

void server_table::OnLoad(const std::string& server, const server_load& load) {
  record& known = records_[server];
  known.load = load;
  known.sent_since_load = 0;
}

void server_table::OnLost(const std::string& server, instant now) {
  record& known = records_[server];
  if (known.outstanding > 0) --known.outstanding;
  known.avoid_for =
      std::clamp(known.avoid_for * 2, kFirstAvoidance, kLongestAvoidance);
  known.avoid_until = now + known.avoid_for;
}

void server_table::OnCancelled(const std::string& server, microseconds waited) {
  record& known = records_[server];
  if (known.outstanding > 0) --known.outstanding;
  // A slow server would otherwise look quick: its slow replies never arrive.
  const auto least = static_cast<double>(waited.count());
  if (least > known.latency_us) {
    known.latency_us += kNewSampleWeight * (least - known.latency_us);
  }
}

replica_state server_table::StateOf(const std::string& server) const {
  replica_state state{.usable = !barred_.contains(server)};
  const auto found = records_.find(server);
  if (found == records_.end()) return state;
  state.usable = state.usable && !found->second.draining;
  state.versions = found->second.versions;
  return state;
}

bool server_table::CanServe(const std::string& server,
                            std::uint64_t version) const {
  const replica_state state = StateOf(server);
  return state.usable &&
         (!state.versions.Known() || state.versions.Holds(version));
}

double server_table::record::WaitUs() const {
  const std::uint32_t ahead = load.in_flight + load.queued + sent_since_load;
  const std::uint32_t window = std::max<std::uint32_t>(1, load.window);
  // Only what exceeds the window has to wait for a turn.
  if (ahead < window) return 0;
  const double latency = latency_us == 0 ? kUnknownLatencyUs : latency_us;
  return latency * (ahead - window + 1.0) / window;
}

microseconds server_table::ExpectedWait(const std::string& server) const {
  const auto found = records_.find(server);
  if (found == records_.end()) return microseconds(0);
  return microseconds(static_cast<std::int64_t>(found->second.WaitUs()));
}

microseconds server_table::ExpectedTime(const std::string& server,
                                        instant now) const {
  const auto found = records_.find(server);
  if (found == records_.end()) {
    return microseconds(static_cast<std::int64_t>(kUnknownLatencyUs));
  }
  const record& known = found->second;
  const double latency =
      known.latency_us == 0 ? kUnknownLatencyUs : known.latency_us;
  auto expected =
      microseconds(static_cast<std::int64_t>(latency + known.WaitUs()));
  if (known.avoid_until > now) expected += microseconds(std::chrono::hours(1));
  return expected;
}

std::string server_table::Choose(const shard& part, std::uint64_t version,
                                 const std::set<std::string>& exclude,
                                 choice_rule rule, instant now) {
  std::vector<std::string> usable;
  for (const auto& server : part.servers) {
    if (!exclude.contains(server) && CanServe(server, version)) {
      usable.push_back(server);
    }
  }
  if (usable.empty()) return {};
  // Equals are met in random order, or every entry would pick the same one.
  std::rotate(usable.begin(),
              usable.begin() + static_cast<std::ptrdiff_t>(random_(
                                   static_cast<std::uint32_t>(usable.size()))),
              usable.end());
  if (rule == choice_rule::kRandom) return usable.front();
  return *std::min_element(usable.begin(), usable.end(),
                           [&](const auto& a, const auto& b) {
                             return ExpectedTime(a, now) < ExpectedTime(b, now);
                           });
}

}  // namespace basilhoist
