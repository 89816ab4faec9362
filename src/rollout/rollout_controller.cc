#include "basilhoist/rollout/rollout_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Whether a server may get requests that the target version is to get.
bool IsUsableTarget(const server_directory& directory,
                    const rollout_order& order, const listed_server& server) {
  return server.info.version == order.target_version &&
         directory.MayUse(server);
}

bool HasTargetServers(const server_directory& directory,
                      const rollout_order& order) {
  const auto& servers = directory.ServersOf(order.service);
  return std::any_of(servers.begin(), servers.end(), [&](const auto& each) {
    return IsUsableTarget(directory, order, *each);
  });
}

// Returns the usable server of the target version that gets the requests of the
// present pulse; null if there is none. The directory lists servers by id, so
// all instances count them in the same order. Called for each send, so it makes
// no list of them.
const listed_server* PulseServer(const server_directory& directory,
                                 const rollout_order& order, microseconds age) {
  const auto& servers = directory.ServersOf(order.service);
  const auto is_usable = [&](const listed_server_ptr& each) {
    return IsUsableTarget(directory, order, *each);
  };
  const auto usable = static_cast<std::size_t>(
      std::count_if(servers.begin(), servers.end(), is_usable));
  std::size_t left = canary_share::ServerOfPulse(order.Id(), age, usable);
  for (const listed_server_ptr& each : servers) {
    if (is_usable(each) && left-- == 0) return each.get();
  }
  return nullptr;
}

rollout_version_report Report(const version_counts& counts) {
  rollout_version_report report{.failed = counts.failed};
  for (std::size_t i = 0; i < counts.answered.size(); ++i) {
    if (counts.answered.at(i) == 0) continue;
    report.answered.push_back({.bucket = static_cast<std::uint8_t>(i),
                               .answers = counts.answered.at(i)});
  }
  return report;
}

}  // namespace

void rollout_controller::SetOrders(const std::vector<rollout_order>& orders,
                                   std::uint64_t era, instant now,
                                   const std::set<std::string>& malformed) {
  for (auto at = rollouts_.begin(); at != rollouts_.end();) {
    const bool listed = std::any_of(
        orders.begin(), orders.end(),
        [&](const auto& order) { return order.service == at->first; });
    if (!listed && !malformed.contains(at->first)) {
      Drop(at->second);
      at = rollouts_.erase(at);
    } else {
      ++at;
    }
  }
  // An order that an instance finds when it starts may be one of which it has
  // spent its part of the slack before.
  const bool knew_orders = std::exchange(knows_orders_, true);
  for (const rollout_order& order : orders) {
    const auto found = rollouts_.find(order.service);
    if (found != rollouts_.end()) {
      Change(found->second, order, era, now);
      continue;
    }
    Begin(order, era, now);
    rollouts_.at(order.service).slack_added = !knew_orders;
  }
}

// The same version is ordered once more if its final state is gone in a later
// revision. An older copy of the store has another era, and has not had the
// final state until it is written again.
void rollout_controller::Change(rollout& run, const rollout_order& order,
                                std::uint64_t era, instant now) {
  const bool is_again = run.order.Ended() && !order.Ended() && era == run.era &&
                        order.revision > run.order.revision;
  if (order.target_version != run.order.target_version || is_again) {
    if (!is_again) Drop(run);
    const std::uint64_t before = run.order.revision;
    rollouts_.erase(order.service);
    Begin(order, era, now);
    if (is_again) rollouts_.at(order.service).first_revision = before + 1;
    return;
  }
  if (era != run.era) {
    run.first_revision = std::min(run.first_revision, order.revision);
  }
  run.era = era;
  Update(run, order, now);
}

void rollout_controller::OnOrder(const rollout_order& order, instant now) {
  const auto found = rollouts_.find(order.service);
  if (found == rollouts_.end() ||
      found->second.order.target_version != order.target_version ||
      order.revision <= found->second.order.revision) {
    return;
  }
  // Without the era, an order made again is no different from an older copy.
  if (found->second.order.Ended() && !order.Ended()) return;
  Update(found->second, order, now);
}

void rollout_controller::Begin(const rollout_order& order, std::uint64_t era,
                               instant now) {
  const double chance = random_() / (pcg32::max() + 1.0);
  rollout& run = rollouts_
                     .emplace(order.service,
                              rollout{.order = order,
                                      .era = era,
                                      .ordered_at = now,
                                      .canary = canary_share(Share(), chance)})
                     .first->second;
  versions_.Allow(order.service, order.target_version);
  // Orders begin without a state, at the lowest of their revisions.
  if (order.StateOfTarget() == rollout_state::kNone) {
    run.first_revision = order.revision;
  }
  NoteServers(run);
  event_line("rollout", "ordered")
      .With("service", order.service)
      .With("target_version", order.target_version)
      .With("duration_ms", order.duration.count())
      .With("state", Name(order.StateOfTarget()))
      .With("revision", order.revision);
  Update(run, order, now);
}

void rollout_controller::Update(rollout& run, const rollout_order& order,
                                instant now) {
  run.order = order;
  if (order.Ended() && run.ended == rollout_state::kNone) {
    End(run, order.StateOfTarget(), now);
  }
}

void rollout_controller::NoteServers(rollout& run) const {
  if (run.servers_seen || !versions_.Lists(run.order.service)) return;
  run.servers_seen = true;
  run.target_in_use =
      !versions_.HasOther(run.order.service, run.order.target_version);
}

void rollout_controller::End(rollout& run, rollout_state state, instant now) {
  run.ended = state;
  run.ended_at = now;
  const bool completed = state == rollout_state::kCompleted;
  ++(completed ? counts_.completed : counts_.rolled_back);
  if (completed) {
    versions_.SetInUse(run.order.service, run.order.target_version);
  } else {
    RejectTarget(run);
  }
  event_line("rollout", "ended")
      .With("service", run.order.service)
      .With("target_version", run.order.target_version)
      .With("state", Name(state))
      .With("age_ms", ToMilliseconds(run.Age(now)));
}

// A version that was in use before the order stays in use.
void rollout_controller::RejectTarget(const rollout& run) {
  if (run.target_in_use) return;
  versions_.Reject(run.order.service, run.order.target_version);
}

void rollout_controller::Drop(const rollout& run) {
  if (run.ended != rollout_state::kNone) return;
  RejectTarget(run);
  event_line("rollout", "withdrawn")
      .With("service", run.order.service)
      .With("target_version", run.order.target_version);
}

void rollout_controller::OnServersAdded(
    const std::vector<listed_server_ptr>& added, instant now) {
  for (const held_version& each : versions_.OnAdded(added, now)) {
    event_line("rollout", "version_held")
        .With("service", each.service)
        .With("version", each.version)
        .With("ordered", rollouts_.contains(each.service));
  }
  // The version of a completed order stays in use when its first servers are
  // listed later than that.
  for (auto& [service, run] : rollouts_) {
    NoteServers(run);
    if (run.ended == rollout_state::kCompleted) {
      versions_.SetInUse(service, run.order.target_version);
    }
  }
}

void rollout_controller::OnServerRemoved(const listed_server& server) {
  versions_.OnRemoved(server);
}

void rollout_controller::OnServerCrashed(const listed_server& server) {
  const auto found = rollouts_.find(server.info.service);
  if (found == rollouts_.end() || PhaseOf(found->second) != phase::kJudging) {
    return;
  }
  rollout_breaks* breaks = BreaksOf(found->second, server);
  if (breaks != nullptr) breaks->crashed = true;
}

rollout_breaks* rollout_controller::BreaksOf(rollout& run,
                                             const listed_server& server) {
  auto& servers = run.IsTarget(server) ? run.broken_target : run.broken_old;
  for (rollout_breaks& each : servers) {
    if (each.server == server.incarnation) return &each;
  }
  if (servers.size() >= rollout_decider::kMaxBrokenServers) return nullptr;
  servers.push_back({.server = server.incarnation});
  return &servers.back();
}

void rollout_controller::AddBreak(rollout& run, const listed_server& server,
                                  instant now) {
  const auto [before, is_first] =
      run.broken_at.try_emplace(server.incarnation, now);
  if (!is_first && now - before->second < kBreakInterval) return;
  before->second = now;
  rollout_breaks* breaks = BreaksOf(run, server);
  if (breaks != nullptr) ++breaks->episodes;
}

void rollout_controller::OnRequest(const std::string& service) {
  const auto found = rollouts_.find(service);
  if (found != rollouts_.end()) found->second.canary.OnRequest();
}

rollout_controller::phase rollout_controller::PhaseOf(
    const rollout& run) const {
  if (run.ended != rollout_state::kNone) return phase::kEnded;
  return run.verdict == rollout_verdict::kComplete ? phase::kChangingOver
                                                   : phase::kJudging;
}

bool rollout_controller::IsJudging(const std::string& service) const {
  const auto found = rollouts_.find(service);
  return found != rollouts_.end() && PhaseOf(found->second) == phase::kJudging;
}

bool rollout_controller::MayUseCanary(const rollout& run,
                                      const listed_server& server,
                                      instant now) const {
  const microseconds age = run.Age(now);
  if (run.verdict == rollout_verdict::kRollBack || age >= run.order.duration ||
      !run.canary.Allows(age)) {
    return false;
  }
  const bool hears_decider =
      std::any_of(run.heard.begin(), run.heard.end(),
                  [now, lifetime = NoticeLifetime()](const auto& each) {
                    return now - each.second < lifetime;
                  });
  if (!hears_decider) return false;
  return PulseServer(directory_, run.order, age) == &server;
}

version_permit rollout_controller::PermitInUse(const listed_server& server,
                                               instant now) const {
  const backend_server& info = server.info;
  const bool held = info.version.empty() ? false
                    : versions_.IsRejected(info.service, info.version)
                        ? versions_.HasOther(info.service, info.version)
                        : !versions_.InUse(info.service, info.version, now);
  return held ? version_permit::kHeld : version_permit::kAllowed;
}

// A version whose order was rolled back gets nothing as long as another one is
// listed, and the old version nothing as soon as the new one is to stay.
version_permit rollout_controller::PermitOf(const listed_server& server,
                                            instant now) const {
  if (rollouts_.empty() && versions_.AllInUse()) {
    return version_permit::kAllowed;
  }
  const auto found = rollouts_.find(server.info.service);
  if (found == rollouts_.end()) return PermitInUse(server, now);
  const rollout& run = found->second;
  const bool completes = run.ended == rollout_state::kCompleted ||
                         PhaseOf(run) == phase::kChangingOver;
  if (completes) {
    if (run.IsTarget(server)) return version_permit::kAllowed;
    return HasTargetServers(directory_, run.order) ? version_permit::kHeld
                                                   : version_permit::kAllowed;
  }
  // An order for the version that all servers have changes nothing.
  if (!run.IsTarget(server) || run.target_in_use ||
      run.ended != rollout_state::kNone) {
    return PermitInUse(server, now);
  }
  return MayUseCanary(run, server, now) ? version_permit::kPreferred
                                        : version_permit::kHeld;
}

void rollout_controller::OnSent(const listed_server& server) {
  const auto found = rollouts_.find(server.info.service);
  if (found == rollouts_.end() || !found->second.IsTarget(server) ||
      PhaseOf(found->second) != phase::kJudging) {
    return;
  }
  found->second.canary.OnSent();
  ++counts_.canary_sends;
}

void rollout_controller::OnAnswer(const listed_server& server,
                                  const version_answer& answer, instant now) {
  const auto found = rollouts_.find(server.info.service);
  if (found == rollouts_.end() || PhaseOf(found->second) != phase::kJudging) {
    return;
  }
  rollout& run = found->second;
  if (answer.result == version_result::kBroken) {
    AddBreak(run, server, now);
    return;
  }
  route_counts& counts = run.counts.routes[answer.route];
  version_counts& own =
      run.IsTarget(server) ? counts.target : counts.old_version;
  own.Add(answer.result, answer.reply_time);
}

rollout_report rollout_controller::ReportOf(const rollout& run,
                                            instant now) const {
  rollout_report report{
      .order = run.order.Id(),
      .address = AddressNumber(options_.self),
      .port = options_.self.port,
      .incarnation = options_.incarnation,
      .age_ms = static_cast<std::uint32_t>(CeilMilliseconds(run.Age(now))),
      .revision = run.order.revision,
      .broken_old = run.broken_old,
      .broken_target = run.broken_target};
  for (const auto& [route, counts] : run.counts.routes) {
    report.routes.push_back({.route = route,
                             .old_version = Report(counts.old_version),
                             .target = Report(counts.target)});
  }
  if (report.routes.size() <= rollout_decider::kMaxRoutes) return report;
  // Routes with most answers of the target version are judged first.
  std::sort(report.routes.begin(), report.routes.end(),
            [&run](const auto& a, const auto& b) {
              const auto& routes = run.counts.routes;
              return routes.at(a.route).target.Answers() >
                     routes.at(b.route).target.Answers();
            });
  report.routes.resize(rollout_decider::kMaxRoutes);
  return report;
}

rollout_notice rollout_controller::NoticeOf(const rollout& run,
                                            instant now) const {
  const rollout_verdict verdict =
      run.ended == rollout_state::kCompleted    ? rollout_verdict::kComplete
      : run.ended == rollout_state::kRolledBack ? rollout_verdict::kRollBack
                                                : run.verdict;
  return {.order = run.order.Id(),
          .address = AddressNumber(options_.self),
          .port = options_.self.port,
          .age_ms = static_cast<std::uint32_t>(CeilMilliseconds(run.Age(now))),
          .revision = run.order.revision,
          .verdict = static_cast<std::uint8_t>(verdict)};
}

std::optional<std::size_t> rollout_controller::RankOf(
    const rollout& run) const {
  const auto found =
      std::find(run.deciders.begin(), run.deciders.end(), options_.self);
  if (found == run.deciders.end()) return std::nullopt;
  return static_cast<std::size_t>(found - run.deciders.begin());
}

std::vector<rollout_datagram> rollout_controller::TakeDatagrams(instant now) {
  std::vector<rollout_datagram> datagrams;
  for (auto& [service, run] : rollouts_) {
    if (run.ended != rollout_state::kNone) continue;
    if (now - run.taken_at > 2 * kReportPeriod) run.observing_since = now;
    run.taken_at = now;
    run.deciders = ChooseUsageKeepers(run.order.Id(), members_.members);
    const rollout_report report = ReportOf(run, now);
    for (const endpoint& decider : run.deciders) {
      if (decider == options_.self) {
        run.decider.OnReport(report, now);
        run.heard[decider] = now;
        continue;
      }
      datagrams.push_back({.to = decider, .report = report});
      ++counts_.reports_sent;
    }
    AddSlack(run);
    if (RankOf(run)) Decide(run, now);
  }
  return datagrams;
}

// Only while most instances are known, as each takes an equal part.
void rollout_controller::AddSlack(rollout& run) const {
  if (run.slack_added || !members_.complete) return;
  run.slack_added = true;
  run.canary.AddSlack(kSlackPart * options_.slack /
                      static_cast<double>(members_.members.size()));
}

void rollout_controller::Decide(rollout& run, instant now) {
  if (run.verdict == rollout_verdict::kRollBack) return;
  run.decision = run.decider.Decide(
      {.age = run.Age(now),
       .duration = run.order.duration,
       .share = Share(),
       .has_target_servers = HasTargetServers(directory_, run.order),
       .instances = members_.members.size(),
       .complete = members_.complete},
      now);
  if (run.decision.verdict == rollout_verdict::kRollBack &&
      run.decision.reason != rollout_reason::kFault &&
      now - run.observing_since < kLeastObserved) {
    run.decision.verdict = rollout_verdict::kUndecided;
  }
  if (run.decision.verdict == rollout_verdict::kUndecided ||
      run.decision.verdict == run.verdict) {
    return;
  }
  // What another decider has found complete is rolled back for a fault only.
  if (run.verdict == rollout_verdict::kComplete &&
      run.decision.reason != rollout_reason::kFault) {
    return;
  }
  event_line("rollout", "decided")
      .With("service", run.order.service)
      .With("target_version", run.order.target_version)
      .With("verdict", Name(run.decision.verdict))
      .With("reason", Name(run.decision.reason))
      .With("fault", Name(run.decision.finding.fault))
      .With("route", run.decision.finding.route)
      .With("bad_share", run.decision.finding.bad_share)
      .With("old_bad_share", run.decision.finding.old_bad_share)
      .With("target_answers", run.decision.target_answers)
      .With("old_answers", run.decision.old_answers)
      .With("reporting", run.decision.reporting)
      .With("instances", members_.members.size())
      .With("age_ms", ToMilliseconds(run.Age(now)));
  SetVerdict(run, run.decision.verdict, now);
}

void rollout_controller::SetVerdict(rollout& run, rollout_verdict verdict,
                                    instant now) {
  run.verdict = verdict;
  run.verdict_at = now;
}

rollout_controller::rollout* rollout_controller::FindById(std::uint64_t order) {
  for (auto& [service, run] : rollouts_) {
    if (run.order.Id() == order) return &run;
  }
  return nullptr;
}

bool rollout_controller::IsMember(const endpoint& address) const {
  return std::any_of(
      members_.members.begin(), members_.members.end(),
      [&address](const auto& each) { return each.address == address; });
}

// A single damaged datagram could state an age at which the order is over, so
// an age counts when the same peer has stated it twice.
void rollout_controller::AdoptAge(rollout& run, const endpoint& from,
                                  std::uint32_t age_ms, instant now) {
  const instant stated = now - milliseconds(age_ms);
  const auto [before, is_first] =
      run.stated_order_times.try_emplace(from, stated);
  const instant later = std::max(stated, before->second);
  const instant earlier = std::min(stated, before->second);
  if (!is_first && later - earlier <= kAgeTolerance) {
    run.ordered_at = std::min(run.ordered_at, later);
  }
  before->second = stated;
}

std::optional<rollout_datagram> rollout_controller::OnReport(
    const rollout_report& report, instant now) {
  rollout* run = FindById(report.order);
  const endpoint from = EndpointOf(report.address, report.port);
  if (run == nullptr || report.revision < run->first_revision ||
      !IsMember(from) || !rollout_decider::IsWellFormed(report)) {
    return std::nullopt;
  }
  AdoptAge(*run, from, report.age_ms, now);
  run->decider.OnReport(report, now);
  return rollout_datagram{.to = from, .notice = NoticeOf(*run, now)};
}

// A verdict counts when two notices state it, since one may be damaged. Other
// instances than those that this one reports to do not decide.
void rollout_controller::OnNotice(const rollout_notice& notice, instant now) {
  rollout* run = FindById(notice.order);
  if (run == nullptr || notice.revision < run->first_revision) return;
  const endpoint from = EndpointOf(notice.address, notice.port);
  const auto& deciders = run->deciders;
  if (std::find(deciders.begin(), deciders.end(), from) == deciders.end()) {
    return;
  }
  AdoptAge(*run, from, notice.age_ms, now);
  run->heard[from] = now;
  const auto verdict = static_cast<rollout_verdict>(notice.verdict);
  const bool is_known = verdict == rollout_verdict::kComplete ||
                        verdict == rollout_verdict::kRollBack;
  if (!is_known) return;
  const auto [last, is_first] = run->told.try_emplace(verdict, now);
  const bool is_confirmed = !is_first && now - last->second < kNoticeLifetime;
  last->second = now;
  // A fault that one decider has found outweighs the verdicts of the others.
  if (is_confirmed && verdict > run->verdict) SetVerdict(*run, verdict, now);
}

std::vector<rollout_write> rollout_controller::TakeWrites(instant now) {
  std::vector<rollout_write> writes;
  for (auto& [service, run] : rollouts_) {
    const auto rank = RankOf(run);
    if (!rank || run.writing || now < run.next_write) continue;
    rollout_state wanted = rollout_state::kRunning;
    instant due = run.ordered_at;
    if (run.ended != rollout_state::kNone) {
      wanted = run.ended;
      due = run.ended_at;
    } else if (run.verdict == rollout_verdict::kRollBack) {
      wanted = rollout_state::kRolledBack;
      due = run.verdict_at;
    } else if (run.verdict == rollout_verdict::kComplete) {
      wanted = rollout_state::kCompleted;
      due = run.verdict_at + kChangeOver;
    }
    if (run.order.StateOfTarget() == wanted || run.order.Ended()) continue;
    if (now < due + static_cast<int>(*rank) * kWriteTurn) continue;
    run.writing = true;
    writes.push_back({.service = service,
                      .revision = run.order.revision,
                      .state = wanted,
                      .target_version = run.order.target_version});
  }
  return writes;
}

void rollout_controller::OnWritten(const std::string& service, instant now) {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end()) return;
  found->second.writing = false;
  found->second.next_write = now + kWriteRetry;
}

nlohmann::ordered_json rollout_controller::Dump(instant now) const {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const auto& [service, run] : rollouts_) {
    const route_counts own = run.counts.AllRoutes();
    nlohmann::ordered_json entry = {
        {"service", service},
        {"target_version", run.order.target_version},
        {"stored_state", Name(run.order.StateOfTarget())},
        {"revision", run.order.revision},
        {"age_ms", ToMilliseconds(run.Age(now))},
        {"duration_ms", run.order.duration.count()},
        {"verdict", Name(run.verdict)},
        {"own_target_answers", own.target.Answers()},
        {"own_old_answers", own.old_version.Answers()}};
    for (const endpoint& decider : run.deciders) {
      entry["deciders"].push_back(Format(decider));
    }
    if (RankOf(run)) {
      entry["decision"] = {
          {"verdict", Name(run.decision.verdict)},
          {"reason", Name(run.decision.reason)},
          {"fault", Name(run.decision.finding.fault)},
          {"bad_share", run.decision.finding.bad_share},
          {"old_bad_share", run.decision.finding.old_bad_share},
          {"target_answers", run.decision.target_answers},
          {"old_answers", run.decision.old_answers},
          {"reporting", run.decision.reporting}};
    }
    list.push_back(std::move(entry));
  }
  return list;
}

}  // namespace basilhoist
