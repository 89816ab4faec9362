#include "basilhoist/rollout/rollout_decider.h"

#include <algorithm>

namespace basilhoist {
namespace {

// That a service has few requests can be told after some pulses only. Orders
// that end before are completed only if the version was judged.
constexpr milliseconds kFewRequestsAge{4000};

version_counts Counts(const rollout_version_report& report) {
  version_counts counts{.failed = report.failed};
  for (const rollout_bucket& each : report.answered) {
    if (each.bucket < kReplyTimeBuckets) {
      counts.answered.at(each.bucket) += each.answers;
    }
  }
  return counts;
}

// Returns what both counts contain.
version_counts Common(const version_counts& a, const version_counts& b) {
  version_counts counts{.failed = std::min(a.failed, b.failed)};
  for (std::size_t i = 0; i < counts.answered.size(); ++i) {
    counts.answered.at(i) = std::min(a.answered.at(i), b.answered.at(i));
  }
  return counts;
}

std::map<std::uint64_t, rollout_breaks> Common(
    const std::vector<rollout_breaks>& a,
    const std::vector<rollout_breaks>& b) {
  std::map<std::uint64_t, rollout_breaks> servers;
  for (const rollout_breaks& each : a) {
    const auto other =
        std::find_if(b.begin(), b.end(), [&each](const rollout_breaks& found) {
          return found.server == each.server;
        });
    if (other == b.end()) continue;
    servers[each.server] = {
        .server = each.server,
        .episodes = std::min(each.episodes, other->episodes),
        .crashed = each.crashed && other->crashed};
  }
  return servers;
}

// Instances see the same breaks of a server, so the highest number counts.
void Merge(const std::map<std::uint64_t, rollout_breaks>& report,
           std::map<std::uint64_t, rollout_breaks>& servers) {
  for (const auto& [server, each] : report) {
    rollout_breaks& known = servers[server];
    known.episodes = std::max(known.episodes, each.episodes);
    known.crashed = known.crashed || each.crashed;
  }
}

microseconds DecisionAge(const rollout_progress& progress) {
  const microseconds least(static_cast<std::int64_t>(
      rollout_decider::kMinObservedPart *
      static_cast<double>(progress.duration.count())));
  return std::max(least, progress.duration - rollout_decider::kDecisionMargin);
}

}  // namespace

std::string_view Name(rollout_verdict value) {
  switch (value) {
    case rollout_verdict::kUndecided:
      return "undecided";
    case rollout_verdict::kComplete:
      return "complete";
    case rollout_verdict::kRollBack:
      return "roll_back";
  }
  return "unknown";
}

std::string_view Name(rollout_reason value) {
  switch (value) {
    case rollout_reason::kNone:
      return "none";
    case rollout_reason::kFault:
      return "fault";
    case rollout_reason::kNoFault:
      return "no_fault";
    case rollout_reason::kFewRequests:
      return "few_requests";
    case rollout_reason::kTooFewAnswers:
      return "too_few_answers";
    case rollout_reason::kTooFewInstances:
      return "too_few_instances";
    case rollout_reason::kNoServers:
      return "no_servers";
  }
  return "unknown";
}

bool rollout_decider::IsWellFormed(const rollout_report& report) {
  const auto has_buckets = [](const rollout_version_report& version) {
    return version.answered.size() <= kReplyTimeBuckets;
  };
  return report.routes.size() <= kMaxRoutes &&
         report.broken_old.size() <= kMaxBrokenServers &&
         report.broken_target.size() <= kMaxBrokenServers &&
         std::all_of(report.routes.begin(), report.routes.end(),
                     [&has_buckets](const rollout_route_report& each) {
                       return has_buckets(each.old_version) &&
                              has_buckets(each.target);
                     });
}

void rollout_decider::OnReport(const rollout_report& report, instant now) {
  const origin from{report.address, report.port, report.incarnation};
  const auto found = reports_.find(from);
  if (found == reports_.end()) {
    if (reports_.size() >= kMaxReports) return;
    reports_[from] = {.report = report, .received_at = now};
    return;
  }
  // Datagrams may overtake each other; counts only grow. A much lower age
  // corrects a damaged one.
  const std::uint32_t last = found->second.report.age_ms;
  if (report.age_ms < last && last - report.age_ms < kOvertakenMs) return;
  Confirm(found->second, report);
  found->second.report = report;
  found->second.received_at = now;
}

void rollout_decider::Confirm(entry& known, const rollout_report& next) {
  known.confirmed = {};
  for (const rollout_route_report& each : next.routes) {
    const auto& before = known.report.routes;
    const auto same = std::find_if(
        before.begin(), before.end(),
        [&each](const auto& found) { return found.route == each.route; });
    if (same == before.end()) continue;
    known.confirmed.routes[each.route] = {
        .old_version =
            Common(Counts(same->old_version), Counts(each.old_version)),
        .target = Common(Counts(same->target), Counts(each.target))};
  }
  known.broken_old = Common(known.report.broken_old, next.broken_old);
  known.broken_target = Common(known.report.broken_target, next.broken_target);
}

rollout_totals rollout_decider::Totals() const {
  rollout_totals totals;
  std::map<std::uint64_t, rollout_breaks> old_servers;
  std::map<std::uint64_t, rollout_breaks> target_servers;
  for (const auto& [from, known] : reports_) {
    for (const auto& [route, counts] : known.confirmed.routes) {
      route_counts& sum = totals.routes[route];
      sum.old_version += counts.old_version;
      sum.target += counts.target;
    }
    Merge(known.broken_old, old_servers);
    Merge(known.broken_target, target_servers);
  }
  for (const auto& [server, breaks] : old_servers) {
    totals.breaks_old += breaks.episodes;
    totals.crashed_old += breaks.crashed ? 1 : 0;
  }
  for (const auto& [server, breaks] : target_servers) {
    totals.breaks_target += breaks.episodes;
    totals.crashed_target += breaks.crashed ? 1 : 0;
  }
  return totals;
}

std::size_t rollout_decider::Reporting(instant now) const {
  return static_cast<std::size_t>(
      std::count_if(reports_.begin(), reports_.end(), [now](const auto& each) {
        return now - each.second.received_at < kFresh;
      }));
}

// A fault is certain whoever else reports. That there is none can be told only
// if most instances report and the target version has been used.
rollout_decision rollout_decider::Decide(const rollout_progress& progress,
                                         instant now) const {
  const rollout_totals totals = Totals();
  const route_counts all = totals.AllRoutes();
  rollout_decision decision{.finding = FindFault(totals),
                            .target_answers = all.target.Answers(),
                            .old_answers = all.old_version.Answers(),
                            .reporting = Reporting(now)};
  const auto decide = [&decision](rollout_verdict verdict,
                                  rollout_reason reason) {
    decision.verdict = verdict;
    decision.reason = reason;
    return decision;
  };
  if (decision.finding.fault != version_fault::kNone) {
    return decide(rollout_verdict::kRollBack, rollout_reason::kFault);
  }
  if (progress.age < DecisionAge(progress)) return decision;
  const bool gives_up =
      progress.age >= progress.duration - rollout_decider::kGiveUpMargin;
  // The old servers stop as soon as the order is completed.
  if (!progress.has_target_servers) {
    return gives_up
               ? decide(rollout_verdict::kRollBack, rollout_reason::kNoServers)
               : decision;
  }
  const bool most_report =
      progress.complete && 2 * decision.reporting > progress.instances;
  const double expected = progress.share * decision.old_answers;
  if (most_report && decision.target_answers >= kMinAnswers) {
    return decide(rollout_verdict::kComplete, rollout_reason::kNoFault);
  }
  if (most_report && expected < kMinAnswers &&
      progress.age >= kFewRequestsAge) {
    return decide(rollout_verdict::kComplete, rollout_reason::kFewRequests);
  }
  if (!gives_up) return decision;
  return decide(rollout_verdict::kRollBack,
                most_report ? rollout_reason::kTooFewAnswers
                            : rollout_reason::kTooFewInstances);
}

}  // namespace basilhoist
