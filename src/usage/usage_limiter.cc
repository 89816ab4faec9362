#include "basilhoist/usage/usage_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace basilhoist {
namespace {

// Workspaces in one datagram, which must fit one packet.
constexpr std::size_t kMaxDemands = 20;
constexpr milliseconds kRemovalPeriod{5000};

// Least part of a limit that an instance expects to get, when it plans the
// return of refused callers.
constexpr double kMinPart = 0.01;

// Damaged or odd reports change nothing.
bool IsLimit(const usage_demand& demand) {
  return std::isfinite(demand.rate_per_s) && demand.rate_per_s > 0 &&
         std::isfinite(demand.burst) && demand.burst >= 0;
}

}  // namespace

void usage_limiter::SetMembers(usage_members members) {
  if (members.members != members_.members ||
      members.complete != members_.complete) {
    ++members_version_;
  }
  members_ = std::move(members);
}

void usage_limiter::UpdateSurroundings(std::uint64_t key,
                                       calling_workspace& caller) const {
  if (caller.members_version != members_version_) {
    caller.members_version = members_version_;
    caller.around.keepers = ChooseUsageKeepers(key, members_.members);
    caller.around.quorum = UsageQuorum(caller.around.keepers.size());
  }
  caller.around.complete = members_.complete;
  caller.around.share = members_.share;
}

usage_decision usage_limiter::Admit(const workspace& sender,
                                    std::uint64_t version,
                                    microseconds patience, instant now) {
  usage_decision decision;
  if (!sender.limit.Unlimited()) {
    const std::uint64_t key = UsageKey(sender.name);
    calling_workspace& caller =
        callers_
            .try_emplace(
                key, calling_workspace{.allowance = usage_allowance(begun_)})
            .first->second;
    caller.name = sender.name;
    caller.limit = sender.limit;
    caller.version = version;
    UpdateSurroundings(key, caller);
    AskSelf(caller.allowance.Demand(now), key, caller, now);
    decision = caller.allowance.Admit(caller.limit, caller.around, now);
    next_report_ = std::min(next_report_, caller.allowance.ReportAt());
    if (!decision.admitted) {
      const double rate =
          sender.limit.rate_per_s * std::max(kMinPart, decision.part);
      decision.wait = caller.returns.Next(decision.wait, rate, patience, now);
    }
  }
  ++(decision.admitted ? counts_.admitted : counts_.refused)
        .at(static_cast<std::size_t>(decision.basis));
  return decision;
}

// Decides on a copy of the workspace's state, so that nothing is counted and no
// workspace is added.
usage_preview usage_limiter::Preview(const workspace& sender,
                                     std::uint64_t version, instant now) const {
  if (sender.limit.Unlimited()) return {};
  const std::uint64_t key = UsageKey(sender.name);
  const auto found = callers_.find(key);
  calling_workspace caller =
      found == callers_.end()
          ? calling_workspace{.allowance = usage_allowance(begun_)}
          : found->second;
  caller.name = sender.name;
  caller.limit = sender.limit;
  caller.version = version;
  UpdateSurroundings(key, caller);
  const std::vector<endpoint>& keepers = caller.around.keepers;
  if (std::find(keepers.begin(), keepers.end(), self_) != keepers.end()) {
    usage_demand demand = caller.allowance.Demand(now);
    Complete(demand, key, caller);
    caller.allowance.OnGrant(
        self_, keeper_.PreviewReport(self_, ReportHeader(now), demand, now),
        caller.around, now);
  }
  usage_preview preview{.state = StateOf(caller, now),
                        .fallback_share = caller.around.share};
  preview.decision = caller.allowance.Admit(caller.limit, caller.around, now);
  return preview;
}

void usage_limiter::GiveBack(const std::string& workspace_name, instant now) {
  const auto found = callers_.find(UsageKey(workspace_name));
  if (found == callers_.end()) return;
  ++counts_.given_back;
  found->second.allowance.GiveBack(now);
}

usage_report usage_limiter::ReportHeader(instant now) const {
  return {.address = AddressNumber(self_),
          .port = self_.port,
          .incarnation = incarnation_,
          .sent_us = static_cast<std::uint64_t>(now.SinceBoot().count())};
}

void usage_limiter::OnReport(const usage_report& report, instant now) {
  const endpoint from = EndpointOf(report.address, report.port);
  if (from == self_) return;
  usage_answer& answer = answers_[from];
  if (answer.incarnation != report.incarnation) answer.grants.clear();
  answer.address = AddressNumber(self_);
  answer.port = self_.port;
  answer.incarnation = report.incarnation;
  for (const usage_demand& demand : report.demands) {
    if (!IsLimit(demand)) continue;
    answer.grants.push_back(keeper_.OnReport(from, report, demand, now));
  }
}

void usage_limiter::OnAnswer(const usage_answer& answer, instant now) {
  if (answer.incarnation != incarnation_) return;
  const endpoint keeper = EndpointOf(answer.address, answer.port);
  for (const usage_grant& grant : answer.grants) {
    const auto found = callers_.find(grant.workspace);
    if (found == callers_.end()) continue;
    ++counts_.grants_received;
    calling_workspace& caller = found->second;
    UpdateSurroundings(grant.workspace, caller);
    caller.allowance.OnGrant(keeper, grant, caller.around, now);
    next_report_ = std::min(next_report_, caller.allowance.ReportAt());
  }
}

instant usage_limiter::NextSendAt() const {
  if (!answers_.empty()) return {};
  return keeper_.HasPressed() ? std::min(next_report_, next_notice_)
                              : next_report_;
}

void usage_limiter::Complete(usage_demand& demand, std::uint64_t key,
                             const calling_workspace& caller) {
  demand.workspace = key;
  demand.rate_per_s = caller.limit.rate_per_s;
  demand.burst = caller.limit.burst;
  demand.version = caller.version;
}

void usage_limiter::AskSelf(usage_demand demand, std::uint64_t key,
                            calling_workspace& caller, instant now) {
  const std::vector<endpoint>& keepers = caller.around.keepers;
  if (std::find(keepers.begin(), keepers.end(), self_) == keepers.end()) return;
  Complete(demand, key, caller);
  const usage_grant grant =
      keeper_.OnReport(self_, ReportHeader(now), demand, now);
  caller.allowance.OnGrant(self_, grant, caller.around, now);
}

void usage_limiter::ReportTo(reports_by_keeper& reports, std::uint64_t key,
                             calling_workspace& caller, instant now) {
  UpdateSurroundings(key, caller);
  usage_demand demand = caller.allowance.Report(caller.around, now);
  AskSelf(demand, key, caller, now);
  Complete(demand, key, caller);
  for (const endpoint& keeper : caller.around.keepers) {
    if (keeper != self_) reports[keeper].push_back(demand);
  }
}

std::vector<usage_datagram> usage_limiter::TakeDatagrams(instant now) {
  reports_by_keeper reports;
  if (now >= next_report_) {
    next_report_ = usage_allowance::kNever;
    for (auto& [key, caller] : callers_) {
      if (now >= caller.allowance.ReportAt()) {
        ReportTo(reports, key, caller, now);
      }
      next_report_ = std::min(next_report_, caller.allowance.ReportAt());
    }
  }
  std::vector<usage_datagram> datagrams;
  for (const auto& [keeper, demands] : reports) {
    for (std::size_t i = 0; i < demands.size(); i += kMaxDemands) {
      usage_report report = ReportHeader(now);
      const auto first = demands.begin() + static_cast<std::ptrdiff_t>(i);
      report.demands.assign(
          first, first + static_cast<std::ptrdiff_t>(
                             std::min(kMaxDemands, demands.size() - i)));
      datagrams.push_back({.to = keeper, .report = std::move(report)});
      ++counts_.reports_sent;
    }
  }
  for (auto& [from, answer] : std::exchange(answers_, {})) {
    datagrams.push_back({.to = from, .answer = std::move(answer)});
    ++counts_.answers_sent;
  }
  if (keeper_.HasPressed() && now >= next_notice_) {
    for (auto& [to, notice] : keeper_.NextNotices(now)) {
      if (to == self_) continue;
      notice.address = AddressNumber(self_);
      notice.port = self_.port;
      datagrams.push_back({.to = to, .answer = std::move(notice)});
      ++counts_.notices_sent;
    }
    // The end of the pressure is told at once: until then others refuse
    // requests that are within the limit.
    next_notice_ = std::min(now + kNoticePeriod, keeper_.ReleaseAt());
  }
  if (now >= next_removal_) RemoveIdle(now);
  return datagrams;
}

void usage_limiter::RemoveIdle(instant now) {
  next_removal_ = now + kRemovalPeriod;
  keeper_.RemoveIdle(now);
  std::erase_if(callers_, [now](const auto& entry) {
    return entry.second.allowance.Idle(now);
  });
}

usage_state usage_limiter::StateOf(const calling_workspace& caller,
                                   instant now) {
  return {.workspace = caller.name,
          .limit = caller.limit,
          .admitted = caller.allowance.Admitted(),
          .granted_left = caller.allowance.GrantedLeft(caller.around, now),
          .disconnected = caller.allowance.Disconnected(caller.around, now),
          .keepers = caller.around.keepers};
}

std::vector<usage_state> usage_limiter::States(std::size_t max,
                                               instant now) const {
  std::vector<usage_state> states;
  for (const auto& [key, caller] : callers_) {
    states.push_back(StateOf(caller, now));
  }
  const auto busier = [](const usage_state& a, const usage_state& b) {
    return a.admitted > b.admitted;
  };
  const auto count = static_cast<std::ptrdiff_t>(std::min(max, states.size()));
  std::partial_sort(states.begin(), states.begin() + count, states.end(),
                    busier);
  states.resize(static_cast<std::size_t>(count));
  return states;
}

}  // namespace basilhoist
