#include "basilhoist/usage/usage_keeper.h"

#include <algorithm>
#include <cmath>

namespace basilhoist {
namespace {

// An instance is granted what it needs in this time, so that it rarely has to
// ask while a request waits. It needs less while the limit is nearly used up,
// since what it does not use is missing elsewhere.
constexpr double kGrantAheadS = 0.5;
constexpr double kPressedGrantAheadS = 0.1;
// Far from the limit, an instance is granted at least this part of what is
// left, for callers that send several requests at once.
constexpr double kCalmGrantPart = 0.125;
// Requests in the last second are no demand any more after this time.
constexpr milliseconds kDemandTime{1500};
// Demand that an instance has at least when it reports.
constexpr double kMinDemand = 0.5;
// An instance counts as waiting for this time after its report.
constexpr milliseconds kWaitingTime{400};
// Interval between two notices to one instance that does not report.
constexpr milliseconds kNoticeInterval{400};
// Instances that have reported within this time have the newest state.
constexpr milliseconds kNoticeQuiet{200};
// Notices in one call, which bounds the datagrams of a keeper.
constexpr std::size_t kMaxNotices = 64;
constexpr double kMaxWaitS = 10;

}  // namespace

double usage_keeper::reporter::Outstanding(instant now) const {
  std::uint64_t most = admitted;
  if (now < lease_until) most = std::max(most, granted);
  if (now < lease_before_until) most = std::max(most, granted_before);
  return static_cast<double>(most - admitted);
}

double usage_keeper::reporter::DemandAt(instant now) const {
  return now - heard_at < kDemandTime ? arrived : 0;
}

usage_grant usage_keeper::OnReport(const endpoint& from,
                                   const usage_report& header,
                                   const usage_demand& demand, instant now) {
  account& kept =
      accounts_
          .try_emplace(demand.workspace,
                       account{.since = now, .bucket = usage_bucket(begun_)})
          .first->second;
  if (demand.version >= kept.version) {
    kept.version = demand.version;
    kept.limit = {.rate_per_s = demand.rate_per_s, .burst = demand.burst};
  }
  reporter& source = kept.reporters[from];
  const bool stale = source.incarnation == header.incarnation &&
                     header.sent_us < source.sent_us;
  if (!stale) Count(kept, source, header, demand, now);
  const others rest = OthersOf(kept, from, now);
  if (!stale) Grant(kept, source, rest, now);
  if (Pressed(kept, now)) pressed_.insert(demand.workspace);
  return AnswerOf(demand.workspace, kept, source, rest, now);
}

// Copies one account, so that the cost does not grow with the workspaces.
usage_grant usage_keeper::PreviewReport(const endpoint& from,
                                        const usage_report& header,
                                        const usage_demand& demand,
                                        instant now) const {
  usage_keeper copy(begun_);
  const auto found = accounts_.find(demand.workspace);
  if (found != accounts_.end()) copy.accounts_.insert(*found);
  return copy.OnReport(from, header, demand, now);
}

// Requests that were admitted long before they are reported, while the
// instance was cut off, count no more: the rate has paid for them. A keeper
// that has just begun does not count what the others have counted before.
void usage_keeper::Count(account& kept, reporter& source,
                         const usage_report& header, const usage_demand& demand,
                         instant now) {
  // A workspace that an instance had forgotten starts from 0 there.
  const bool same_run = source.incarnation == header.incarnation &&
                        demand.admitted >= source.admitted;
  const bool first_requests = demand.admitted == demand.recent;
  std::uint64_t added = demand.admitted;
  if (same_run) {
    added -= source.admitted;
  } else {
    source = {.incarnation = header.incarnation};
    if (Young(kept, now) && !first_requests) added = 0;
  }
  kept.bucket.Take(kept.limit, std::min<std::uint64_t>(added, demand.recent),
                   now);
  if (header.sent_us > source.sent_us) source.sequence = 0;
  source.sent_us = header.sent_us;
  source.admitted = demand.admitted;
  source.granted = std::max(source.granted, source.admitted);
  source.arrived = std::max(kMinDemand, static_cast<double>(demand.arrived));
  source.heard_at = now;
}

usage_keeper::others usage_keeper::OthersOf(const account& kept,
                                            const endpoint& from, instant now) {
  others rest;
  for (const auto& [address, each] : kept.reporters) {
    if (address == from) continue;
    rest.outstanding += each.Outstanding(now);
    rest.demand += each.DemandAt(now);
    if (each.waiting && now - each.heard_at < kWaitingTime) ++rest.waiting;
  }
  return rest;
}

std::uint8_t usage_keeper::AheadOf(double tokens) {
  if (tokens < kLeftForTwo) return 1;
  return tokens < kLeftForThree ? 2 : 3;
}

bool usage_keeper::Young(const account& kept, instant now) {
  return now - kept.since < kUsageYoung;
}

double usage_keeper::PressedLevel(const usage_limit& limit) {
  return std::clamp(kPressedPart * limit.burst, kMinPressed, kMaxPressed);
}

bool usage_keeper::Pressed(const account& kept, instant now) {
  return kept.bucket.TokensAt(kept.limit, now) < PressedLevel(kept.limit);
}

instant usage_keeper::ReleaseOf(const account& kept, instant now) {
  const double missing =
      PressedLevel(kept.limit) - kept.bucket.TokensAt(kept.limit, now);
  const double wait_s =
      missing / std::max(kept.limit.rate_per_s, 1 / kMaxWaitS);
  return now + std::max<microseconds>(
                   milliseconds(1),
                   milliseconds(static_cast<std::int64_t>(
                       std::ceil(std::min(wait_s, kMaxWaitS) * 1000))));
}

// What is left is divided by demand, but a whole request goes to whoever asks.
void usage_keeper::Grant(account& kept, reporter& source, const others& rest,
                         instant now) {
  const double left = kept.bucket.TokensAt(kept.limit, now) - rest.outstanding;
  const bool pressed = Pressed(kept, now);
  const double ahead_s = pressed ? kPressedGrantAheadS : kGrantAheadS;
  const double spare = pressed ? 0 : left * kCalmGrantPart;
  const double wanted =
      std::max({1.0, std::ceil(source.arrived * ahead_s), std::floor(spare)});
  const double part = source.arrived / (source.arrived + rest.demand);
  const double given =
      std::floor(std::min({wanted, left, std::max(1.0, left * part)}));
  const std::uint64_t granted =
      source.admitted +
      (given > 0 ? static_cast<std::uint64_t>(given) : std::uint64_t{0});
  if (granted < source.granted && now < source.lease_until) {
    source.granted_before = source.granted;
    source.lease_before_until = source.lease_until;
  }
  source.granted = granted;
  source.lease_until = now + kUsageLease;
  source.waiting = granted == source.admitted;
}

usage_grant usage_keeper::AnswerOf(std::uint64_t key, const account& kept,
                                   reporter& source, const others& rest,
                                   instant now) {
  const double tokens = kept.bucket.TokensAt(kept.limit, now);
  const double missing =
      1 + rest.waiting - (tokens - rest.outstanding - source.Outstanding(now));
  const double wait_s = std::clamp(
      missing / std::max(kept.limit.rate_per_s, 1 / kMaxWaitS), 0.0, kMaxWaitS);
  const double part = source.arrived / (source.arrived + rest.demand);
  source.told_pressed = Pressed(kept, now);
  return {.workspace = key,
          .sent_us = source.sent_us,
          .sequence = ++source.sequence,
          .counted = source.admitted,
          .granted = source.granted,
          .wait_ms = static_cast<std::uint32_t>(std::ceil(wait_s * 1000)),
          .part_permille = static_cast<std::uint32_t>(part * kPermille),
          .ahead = source.told_pressed ? std::uint8_t{0} : AheadOf(tokens),
          .exceeded = tokens < -kMaxDebt,
          .counting_ms = static_cast<std::uint32_t>(CeilMilliseconds(
              std::min<microseconds>(kUsageYoung, now - kept.since)))};
}

usage_keeper::notice_list usage_keeper::NextNotices(instant now) {
  notice_list notices;
  release_at_ = now + milliseconds(static_cast<std::int64_t>(kMaxWaitS * 1000));
  for (auto next = pressed_.begin(); next != pressed_.end();) {
    const auto found = accounts_.find(*next);
    const bool released =
        found == accounts_.end() || !Pressed(found->second, now);
    if (found != accounts_.end()) {
      AppendNotices(*next, found->second, released, notices, now);
      if (!released) {
        release_at_ = std::min(release_at_, ReleaseOf(found->second, now));
      }
    }
    next = released ? pressed_.erase(next) : std::next(next);
  }
  return notices;
}

// While the limit is pressed, notices are repeated; its end is told once to
// those that do not know it.
void usage_keeper::AppendNotices(std::uint64_t key, account& kept,
                                 bool released, notice_list& notices,
                                 instant now) {
  const others all = OthersOf(kept, {}, now);
  for (auto& [address, each] : kept.reporters) {
    if (notices.size() >= kMaxNotices) return;
    const bool due = released ? each.told_pressed
                              : now - each.heard_at >= kNoticeQuiet &&
                                    now - each.noticed_at >= kNoticeInterval;
    if (!due) continue;
    each.noticed_at = now;
    notices.push_back({address,
                       {.incarnation = each.incarnation,
                        .grants = {AnswerOf(key, kept, each, all, now)}}});
  }
}

void usage_keeper::RemoveIdle(instant now) {
  for (auto& [key, kept] : accounts_) {
    std::erase_if(kept.reporters, [now](const auto& entry) {
      return now - entry.second.heard_at >= kMemory;
    });
  }
  std::erase_if(accounts_, [](const auto& entry) {
    return entry.second.reporters.empty();
  });
}

}  // namespace basilhoist
