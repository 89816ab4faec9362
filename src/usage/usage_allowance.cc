#include "basilhoist/usage/usage_allowance.h"

#include <algorithm>

namespace basilhoist {
namespace {

constexpr std::int64_t kBucketUs = 125000;
// Buckets of the last second.
constexpr std::size_t kSecondBuckets = 8;
// A request that was not sent makes room for another one for this time.
constexpr milliseconds kReturnTime{2000};
// Delay of a report about a refused request, to take in more of them.
constexpr milliseconds kRefusalDelay{10};
// Time in which keepers answer usually.
constexpr milliseconds kAnswerWait{25};
// Longest wait that is stated while the keepers are not reached, since they
// may be reached again.
constexpr milliseconds kMaxFallbackWait{2000};
constexpr milliseconds kIdleTime{60000};
// A keeper is young if another one has counted longer by this time.
constexpr milliseconds kYoungDifference{500};

microseconds Seconds(double seconds) {
  return microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

const char* Name(usage_basis basis) {
  static constexpr std::array<const char*, kUsageBasisCount> kNames = {
      "unlimited", "granted", "ahead",    "fallback",
      "returned",  "used_up", "own_count"};
  return kNames.at(static_cast<std::size_t>(basis));
}

void usage_counter::AdvanceTo(instant now) {
  const std::int64_t current = now.SinceBoot().count() / kBucketUs;
  const auto size = static_cast<std::int64_t>(buckets_.size());
  for (std::int64_t steps = std::min(current - newest_, size); steps > 0;
       --steps) {
    buckets_.at(static_cast<std::size_t>(current - steps + 1) %
                buckets_.size()) = 0;
  }
  newest_ = std::max(newest_, current);
}

void usage_counter::Add(instant now) {
  AdvanceTo(now);
  ++buckets_.at(static_cast<std::size_t>(newest_) % buckets_.size());
}

std::uint32_t usage_counter::Recent(instant now) {
  AdvanceTo(now);
  std::uint32_t sum = 0;
  for (const std::uint32_t count : buckets_) sum += count;
  return sum;
}

std::uint32_t usage_counter::LastSecond(instant now) {
  AdvanceTo(now);
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < kSecondBuckets; ++i) {
    sum +=
        buckets_.at((static_cast<std::size_t>(newest_) + buckets_.size() - i) %
                    buckets_.size());
  }
  return sum;
}

usage_decision usage_allowance::Admit(const usage_limit& limit,
                                      const usage_surroundings& around,
                                      instant now) {
  arrivals_.Add(now);
  arrived_at_ = now;
  const double own = own_.TokensAt(limit, now);
  if (own < 1) {
    ReportBy(now + kRefusalDelay);
    return {.admitted = false,
            .basis = usage_basis::kOwnCount,
            .wait = Seconds((1 - own) / limit.rate_per_s)};
  }
  if (returned_ > 0 && now - returned_at_ < kReturnTime) {
    --returned_;
    return {.basis = usage_basis::kReturned};
  }
  returned_ = 0;
  const live_keepers live = LiveOf(around, now);
  if (GrantedLeft(around, now) > 0) {
    Count(limit, now);
    ReportBy(live.first->newest.granted > admitted_ ? now + kReportDelay : now);
    return {.basis = usage_basis::kGranted, .age = now - live.first->sent_at};
  }
  const double ahead = AheadAt(limit, around, now);
  if (ahead < 1 || PressedView(around, now) != nullptr) {
    return Refuse(limit, around, now);
  }
  Count(limit, now);
  ahead_ = ahead - 1;
  ahead_at_ = now;
  ReportBy(now);
  return {.basis = Disconnected(around, now) ? usage_basis::kFallback
                                             : usage_basis::kAhead};
}

void usage_allowance::Count(const usage_limit& limit, instant now) {
  ++admitted_;
  counted_ = false;
  admissions_.Add(now);
  own_.Take(limit, 1, now);
}

usage_decision usage_allowance::Refuse(const usage_limit& limit,
                                       const usage_surroundings& around,
                                       instant now) {
  ReportBy(now + kRefusalDelay);
  usage_decision refused{.admitted = false, .part = around.share};
  if (const keeper_view* view = PressedView(around, now)) {
    refused.basis = usage_basis::kUsedUp;
    refused.age = now - view->received_at;
    refused.part = view->newest.part_permille / kPermille;
    refused.wait = std::max<microseconds>(
        kAnswerWait, milliseconds(view->newest.wait_ms) - refused.age);
    return refused;
  }
  if (!Disconnected(around, now)) {
    refused.basis = usage_basis::kAhead;
    refused.wait = kAnswerWait;
    return refused;
  }
  refused.basis = usage_basis::kFallback;
  refused.age =
      unanswered_since_ > instant() ? now - unanswered_since_ : microseconds(0);
  const double rate = limit.rate_per_s * around.share * kFallbackPart;
  const double missing = 1 - AheadAt(limit, around, now);
  refused.wait = std::clamp<microseconds>(
      Seconds(std::min(3600.0, missing / std::max(rate, 1e-6))), kAnswerWait,
      kMaxFallbackWait);
  return refused;
}

void usage_allowance::GiveBack(instant now) {
  if (returned_ < admitted_) ++returned_;
  returned_at_ = now;
}

microseconds usage_allowance::keeper_view::CountingFor(instant now) const {
  return std::min<microseconds>(
      kUsageYoung, milliseconds(newest.counting_ms) + (now - received_at));
}

// If all have begun at about the same time, none knows more than the others.
bool usage_allowance::IsYoung(const keeper_view& view, instant now) const {
  const microseconds counting = view.CountingFor(now);
  return std::any_of(views_.begin(), views_.end(), [&](const auto& entry) {
    return entry.second.CountingFor(now) > counting + kYoungDifference;
  });
}

usage_allowance::live_keepers usage_allowance::LiveOf(
    const usage_surroundings& around, instant now) const {
  live_keepers live;
  if (!around.complete) return live;
  for (const endpoint& keeper : around.keepers) {
    const auto found = views_.find(keeper);
    if (found == views_.end() || !found->second.Live(now)) continue;
    const bool preferred =
        live.first == nullptr ||
        (IsYoung(*live.first, now) && !IsYoung(found->second, now));
    if (preferred) live.first = &found->second;
    ++live.count;
  }
  if (live.first == nullptr) return live;
  const bool ignores_young = !IsYoung(*live.first, now);
  for (const auto& [keeper, view] : views_) {
    if (!view.Live(now) || (ignores_young && IsYoung(view, now))) continue;
    live.exceeded = live.exceeded || view.newest.exceeded;
  }
  return live;
}

std::uint64_t usage_allowance::GrantedLeft(const usage_surroundings& around,
                                           instant now) const {
  const live_keepers live = LiveOf(around, now);
  if (live.count < around.quorum || live.exceeded) return 0;
  const std::uint64_t granted = live.first->newest.granted;
  return granted > admitted_ ? granted - admitted_ : 0;
}

bool usage_allowance::Disconnected(const usage_surroundings& around,
                                   instant now) const {
  if (!around.complete) return true;
  return unanswered_since_ > instant() &&
         now - unanswered_since_ >= kAnswerTime;
}

const usage_allowance::keeper_view* usage_allowance::PressedView(
    const usage_surroundings& around, instant now) const {
  for (const endpoint& keeper : around.keepers) {
    const auto found = views_.find(keeper);
    if (found == views_.end()) continue;
    // A keeper that has only begun to count may take a limit for used up. It
    // is known to be young once others have answered.
    if (IsYoung(found->second, now)) continue;
    if (views_.size() < around.quorum &&
        found->second.CountingFor(now) < kUsageYoung) {
      continue;
    }
    if (now < found->second.pressed_until) return &found->second;
  }
  return nullptr;
}

// The credit for requests ahead of a grant is set once the keepers have counted
// them, and then grows as the bucket does, up to that of an instance that knows
// nothing. While they do not answer, it grows with the fallback share.
double usage_allowance::AheadAt(const usage_limit& limit,
                                const usage_surroundings& around,
                                instant now) const {
  if (ahead_at_ == instant()) return ahead_;
  const auto age = static_cast<double>((now - ahead_at_).count()) / 1e6;
  const double part = counted_ ? 1 : around.share * kFallbackPart;
  return std::min(std::max(kFirstAhead, ahead_),
                  ahead_ + age * limit.rate_per_s * part);
}

bool usage_allowance::IsCounted(const usage_surroundings& around,
                                instant now) const {
  if (!around.complete) return false;
  const auto counted =
      std::count_if(around.keepers.begin(), around.keepers.end(),
                    [&](const endpoint& keeper) {
                      const auto found = views_.find(keeper);
                      return found != views_.end() &&
                             now - found->second.received_at < kUsageLease &&
                             found->second.newest.counted == admitted_;
                    });
  return static_cast<std::size_t>(counted) >= around.quorum;
}

// Once a limit is not used up any more, keepers say so without a report, so
// their latest word counts here, whether or not their grants are valid.
double usage_allowance::AheadOf(const usage_surroundings& around,
                                instant now) const {
  const keeper_view* best = nullptr;
  for (const endpoint& keeper : around.keepers) {
    const auto found = views_.find(keeper);
    if (found == views_.end()) continue;
    if (now - found->second.received_at >= kUsageLease) continue;
    if (best == nullptr ||
        (IsYoung(*best, now) && !IsYoung(found->second, now))) {
      best = &found->second;
    }
  }
  return best == nullptr ? 0 : best->newest.ahead;
}

void usage_allowance::OnGrant(const endpoint& keeper, const usage_grant& grant,
                              const usage_surroundings& around, instant now) {
  std::erase_if(views_, [&](const auto& entry) {
    return std::find(around.keepers.begin(), around.keepers.end(),
                     entry.first) == around.keepers.end();
  });
  const bool is_keeper = std::find(around.keepers.begin(), around.keepers.end(),
                                   keeper) != around.keepers.end();
  const instant sent_at(microseconds(static_cast<std::int64_t>(grant.sent_us)));
  if (!is_keeper || sent_at > now) return;
  keeper_view& view = views_[keeper];
  const bool newer =
      sent_at > view.sent_at ||
      (sent_at == view.sent_at && grant.sequence > view.newest.sequence);
  if (!newer) return;
  view.newest = grant;
  view.sent_at = sent_at;
  view.received_at = now;
  view.pressed_until = grant.ahead == 0 ? now + kPressedMemory : instant();
  if (LiveOf(around, now).count >= around.quorum) unanswered_since_ = {};
  if (!IsCounted(around, now)) return;
  retries_ = 0;
  const bool pressed = PressedView(around, now) != nullptr;
  counted_ = !pressed;
  if (!pressed) {
    ahead_ = AheadOf(around, now);
    ahead_at_ = now;
  }
  const bool repeats = pressed && now - arrived_at_ < kRepeatTime;
  report_at_ = repeats ? now + kRepeat : kNever;
}

void usage_allowance::ReportBy(instant when) {
  report_at_ = std::min(report_at_, when);
  retries_ = 0;
}

usage_demand usage_allowance::Report(const usage_surroundings& around,
                                     instant now) {
  if (unanswered_since_ == instant()) unanswered_since_ = now;
  const bool repeats =
      PressedView(around, now) != nullptr && now - arrived_at_ < kRepeatTime;
  if (repeats) {
    report_at_ = now + kRepeat;
  } else if (retries_ < kMaxRetries) {
    report_at_ = now + kRetry * (1 << retries_++);
  } else {
    report_at_ = kNever;
  }
  return Demand(now);
}

usage_demand usage_allowance::Demand(instant now) {
  return {.admitted = admitted_,
          .recent = admissions_.Recent(now),
          .arrived = arrivals_.LastSecond(now)};
}

bool usage_allowance::Idle(instant now) const {
  return now - arrived_at_ >= kIdleTime;
}

}  // namespace basilhoist
