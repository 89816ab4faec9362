#include "basilhoist/owner/server_gate.h"

#include <algorithm>
#include <utility>

namespace basilhoist {
namespace {

constexpr double kNewSampleWeight = 0.1;
// Before the first reply, a sub-request is taken to need this long.
constexpr double kUnknownServiceUs = 5000;
// Shorter than any restart: a server that replied so lately is the same still.
constexpr microseconds kQuietTime = milliseconds(100);
// After a failure the next probe waits this long, doubled each time.
constexpr microseconds kFirstProbeWait = milliseconds(50);
constexpr microseconds kLongestProbeWait = milliseconds(1000);
// So many replies in a row, each so many times slower than usual, show a cold
// start. One reply in fifty may be ten times slower by itself; three such in
// a row come by chance once in 125,000.
constexpr double kSlowFactor = 5.0;
constexpr std::uint32_t kSlowInARow = 3;
constexpr double kMostOfUsual = 2.0;
// A request that has less than this share of the usual time left is dropped.
constexpr double kLeastShareOfService = 0.5;

}  // namespace

server_gate::server_gate(server_limits limits)
    : limits_(limits), window_(limits.cold_in_flight) {}

void server_gate::Reset() {
  window_ = limits_.cold_in_flight;
  successes_ = 0;
  slow_in_a_row_ = 0;
}

std::uint32_t server_gate::Occupied() const {
  return in_flight_ + static_cast<std::uint32_t>(doubtful_.size());
}

microseconds server_gate::ExpectedWait() const {
  const double service = service_us_ == 0 ? kUnknownServiceUs : service_us_;
  const auto ahead = static_cast<double>(queue_.size() + Occupied());
  const double free_slots = static_cast<double>(window_);
  const double turns = std::max(0.0, ahead + 1.0 - free_slots) / free_slots;
  return microseconds(static_cast<std::int64_t>(turns * service));
}

admission server_gate::Offer(const gate_item& item, instant now) {
  DropDoubtful(now);
  const bool closed = closed_until_ > now;
  const auto wait =
      std::max(ExpectedWait(), closed ? closed_until_ - now : microseconds(0));
  const auto retry_after = static_cast<std::uint32_t>(
      std::max<std::int64_t>(1, CeilMilliseconds(wait)));
  const bool cold_or_short =
      closed || window_ < limits_.slots || queue_.size() >= limits_.slots;
  if (item.second_attempt && cold_or_short) {
    return {false, reason::kOverLimit, retry_after};
  }
  const double service = service_us_ == 0 ? kUnknownServiceUs : service_us_;
  const auto needed = wait + microseconds(static_cast<std::int64_t>(service));
  if (now + needed > item.deadline) {
    const bool cold = closed || window_ < limits_.slots;
    return {false, cold ? reason::kWarmingUp : reason::kOverLimit, retry_after};
  }
  queue_.emplace(item.deadline, item);
  return {.admitted = true};
}

gate_decision server_gate::Next(instant now) {
  DropDoubtful(now);
  gate_decision decision;
  const auto least = microseconds(
      static_cast<std::int64_t>(service_us_ * kLeastShareOfService));
  while (!queue_.empty() && queue_.begin()->first <= now + least) {
    decision.drop.push_back(queue_.begin()->second);
    queue_.erase(queue_.begin());
  }
  // A server that was quiet may have restarted without any request noticing.
  const bool quiet = Occupied() == 0 && now - heard_at_ > kQuietTime;
  confirming_ = confirming_ || quiet;
  const std::uint32_t window = confirming_ ? 1 : window_;
  while (!queue_.empty() && closed_until_ <= now && Occupied() < window) {
    decision.send.push_back(queue_.begin()->second);
    queue_.erase(queue_.begin());
    ++in_flight_;
  }
  return decision;
}

bool server_gate::Withdraw(std::uint64_t id) {
  const auto found =
      std::find_if(queue_.begin(), queue_.end(),
                   [id](const auto& entry) { return entry.second.id == id; });
  if (found == queue_.end()) return false;
  queue_.erase(found);
  return true;
}

std::vector<gate_item> server_gate::TakeQueue() {
  std::vector<gate_item> items;
  for (const auto& [deadline, item] : queue_) items.push_back(item);
  queue_.clear();
  return items;
}

std::vector<gate_item> server_gate::TakeWaiting(instant arrived_before) {
  std::vector<gate_item> items;
  std::erase_if(queue_, [&](const auto& entry) {
    if (entry.second.arrived > arrived_before) return false;
    items.push_back(entry.second);
    return true;
  });
  return items;
}

void server_gate::SetLimits(server_limits limits) {
  limits_ = limits;
  window_ = std::min(window_, limits_.slots);
}

void server_gate::OnEnd(attempt_end end, microseconds took, instant deadline,
                        const std::string& incarnation, instant now) {
  --in_flight_;
  const bool replied = !incarnation.empty();
  if (replied) {
    heard_at_ = now;
    confirming_ = false;
  }
  if (replied && incarnation != incarnation_) {
    // A restart: it is cold, and whatever it ran before is gone.
    if (!incarnation_.empty()) Close(now, false);
    incarnation_ = incarnation;
    doubtful_.clear();
  }
  switch (end) {
    case attempt_end::kAnswered:
      OnSuccess(took, now);
      break;
    case attempt_end::kShed:
      Close(now, false);
      break;
    case attempt_end::kRefused:
      doubtful_.clear();
      Close(now, true);
      break;
    case attempt_end::kLost:
      doubtful_.push_back(deadline);
      Close(now, true);
      break;
    case attempt_end::kTimedOut:
      Close(now, true);
      break;
    case attempt_end::kCancelled:
    case attempt_end::kUnsent:
      break;
  }
}

void server_gate::OnSuccess(microseconds took, instant now) {
  const auto sample = static_cast<double>(took.count());
  const bool slow = service_us_ > 0 && sample > kSlowFactor * service_us_;
  slow_in_a_row_ = slow ? slow_in_a_row_ + 1 : 0;
  if (slow_in_a_row_ >= kSlowInARow) Close(now, false);
  // One slow reply must not move the usual time by much, or the next ones
  // would no longer look slow.
  const double capped = std::min(sample, kMostOfUsual * service_us_);
  service_us_ = service_us_ == 0
                    ? sample
                    : service_us_ + kNewSampleWeight * (capped - service_us_);
  probe_wait_ = microseconds(0);
  closed_until_ = instant();
  if (window_ >= limits_.slots) return;
  if (++successes_ < limits_.successes_per_step) return;
  successes_ = 0;
  ++window_;
}

// The window shuts to what a cold server bears. After a failure nothing is
// sent for a while, and then one probe at a time.
void server_gate::Close(instant now, bool failed) {
  Reset();
  if (!failed) return;
  window_ = 1;
  probe_wait_ = std::clamp(probe_wait_ * 2, kFirstProbeWait, kLongestProbeWait);
  closed_until_ = now + probe_wait_;
}

void server_gate::DropDoubtful(instant now) {
  std::erase_if(doubtful_, [now](instant until) { return until <= now; });
}

instant server_gate::WakeAt(instant now) const {
  constexpr instant kNever{microseconds::max()};
  if (queue_.empty()) return kNever;
  instant wake = queue_.begin()->first;
  if (closed_until_ > now) wake = std::min(wake, closed_until_);
  for (const instant until : doubtful_) {
    if (until > now) wake = std::min(wake, until);
  }
  return wake;
}

server_load server_gate::Load(instant now) const {
  return {.in_flight = Occupied(),
          .queued = static_cast<std::uint32_t>(queue_.size()),
          .window = closed_until_ > now ? 0 : window_};
}

}  // namespace basilhoist
