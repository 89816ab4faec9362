#include "basilhoist/dispatch/request_admission.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "basilhoist/ops/event_line.h"
#include "basilhoist/relay/relay_client.h"

namespace basilhoist {
namespace {

// A server without a reply for this time is taken to be silent: its slots are
// of no use, and what it holds does not show load.
constexpr milliseconds kSilence{1000};
// Weighted number of calls below which nothing is known of a service.
constexpr double kMinCalls = 1;
// An answer takes at least this part of the usual reply time, which includes
// waiting, and of the route's timeout at most: a request that has its whole
// time is admitted, since only replies correct a usual time that was measured
// in a slow period.
constexpr int kShortestReplyPart = 2;
// Reports have 8 bits for a priority. Less urgent ones are treated alike.
constexpr unsigned kLeastUrgent =
    std::numeric_limits<decltype(admission_report_share::priority)>::max();

// Routes with the same services have the same value, in whatever order.
std::uint64_t ServiceSetOf(const route& matched) {
  std::uint64_t set = matched.FansOut() ? 1 : 2;
  for (const std::string& shard : matched.shards) {
    set += crash_guard::ServiceHash(shard);
  }
  for (const weighted_service& each : matched.services) {
    set += crash_guard::ServiceHash(each.service);
  }
  return set;
}

admission_class ClassOf(const route& matched, const outbound_request& request) {
  return {.service_set = ServiceSetOf(matched),
          .priority = std::min(request.priority, kLeastUrgent),
          .workspace = request.workspace.empty()
                           ? 0
                           : crash_guard::ServiceHash(request.workspace)};
}

const route* FindRoute(const dispatcher& the_dispatcher,
                       const std::string& name) {
  if (!the_dispatcher.table) return nullptr;
  const std::vector<route>& routes = the_dispatcher.table->Routes();
  const auto found =
      std::find_if(routes.begin(), routes.end(),
                   [&name](const route& each) { return each.name == name; });
  return found == routes.end() ? nullptr : &*found;
}

// Where no workspaces compete, refusing moves nothing between callers, and the
// estimate of what the servers can take costs more answers than it saves: with
// servers that reject a part of their requests, 628 of 2,900 fan-out requests
// were refused and 0.03 of the answers lost.
bool SharesBetweenWorkspaces(const dispatcher& the_dispatcher) {
  return the_dispatcher.table && the_dispatcher.table->Workspaces();
}

// Counts the instances that send to servers of a failure domain.
class sender_counts {
 public:
  explicit sender_counts(const dispatcher& the_dispatcher)
      : dispatcher_(the_dispatcher) {}

  // Relays divide the shards of a failure domain evenly. Without relays, each
  // instance sends to all.
  double Of(const std::set<std::string>& domains) {
    double relays = 0;
    for (const std::string& domain : domains) relays += RelaysIn(domain);
    return relays > 0 ? relays
                      : static_cast<double>(dispatcher_.instance_count);
  }

 private:
  double RelaysIn(const std::string& domain) {
    if (dispatcher_.relays == nullptr) return 0;
    const auto known = relays_.find(domain);
    if (known != relays_.end()) return known->second;
    const bool own = domain == dispatcher_.options.failure_domain;
    const double count = static_cast<double>(
        dispatcher_.relays->ChooseRelays(domain, SIZE_MAX, 0).size() +
        (own ? 1 : 0));
    return relays_[domain] = count;
  }

  const dispatcher& dispatcher_;
  std::map<std::string, double> relays_;
};

std::optional<shard_load> LoadOf(const dispatcher& the_dispatcher,
                                 const std::string& shard,
                                 sender_counts& senders, instant now) {
  const service_load seen = the_dispatcher.admission.loads.LoadOf(
      crash_guard::ServiceHash(shard), now);
  if (seen.calls < kMinCalls) return std::nullopt;
  unsigned slots = 0;
  std::set<std::string> domains;
  for (const listed_server_ptr& server :
       the_dispatcher.directory.ServersOf(shard)) {
    domains.insert(server->info.failure_domain);
    const instant reply =
        the_dispatcher.stats.HealthOf(server->key, now).last_reply;
    if (reply != instant() && now - reply < kSilence) {
      slots += server->info.slots;
    }
  }
  return shard_load{
      .answered = seen.answered,
      .utilization =
          slots == 0 ? 0 : seen.in_flight * senders.Of(domains) / slots};
}

shard_set_load LoadOf(const dispatcher& the_dispatcher, const route& matched,
                      sender_counts& senders, instant now) {
  shard_set_load load{.shards = matched.shards.size(),
                      .min_coverage = matched.min_coverage};
  for (const std::string& shard : matched.shards) {
    const auto seen = LoadOf(the_dispatcher, shard, senders, now);
    if (seen) load.observed.push_back(*seen);
  }
  return load;
}

void LogChange(const admission_report& report, bool limits) {
  event_line("admission", limits ? "overload_seen" : "overload_over")
      .With("service_set", report.service_set)
      .With("shares", report.shares.size());
}

// Applies this instance's own report.
bool Report(dispatcher& the_dispatcher, const admission_report& report,
            instant now) {
  admission_reports& reports = the_dispatcher.admission.reports;
  const bool known = reports.Knows(report.service_set, now);
  reports.OnReports({report}, now);
  const bool limits = reports.Knows(report.service_set, now);
  if (known != limits) LogChange(report, limits);
  return limits && !known;
}

}  // namespace

arriving_request DescribeArrival(const dispatcher& the_dispatcher,
                                 const routed_request& request, instant now) {
  const outbound_request& out = *request.outbound;
  const route& matched = *request.matched;
  static const route_latency without_replies;
  const auto known = the_dispatcher.route_latencies.find(out.route_name);
  const route_latency& latency = known == the_dispatcher.route_latencies.end()
                                     ? without_replies
                                     : known->second;
  // Without an objective to start from, the typical latency is 0 until there
  // are replies.
  const microseconds measured = latency.TypicalLatency(microseconds(0));
  const microseconds shortest =
      std::min<microseconds>(measured, matched.timeout) / kShortestReplyPart;
  return {.fans_out = matched.FansOut(),
          .is_retry = out.is_retry,
          .objective = out.objective,
          .objective_left = out.objective_at - now,
          .deadline_left = out.deadline - now,
          .reply_time = latency.TypicalLatency(out.objective),
          .shortest_reply = shortest,
          .servers = SharesBetweenWorkspaces(the_dispatcher)
                         ? the_dispatcher.admission.reports.ShareOf(
                               ClassOf(matched, out), now)
                         : admitted_share{},
          .loop_delay = the_dispatcher.admission.delay.Lasting()};
}

request_admission Admit(dispatcher& the_dispatcher,
                        const routed_request& request) {
  request_admission decision{
      .based_on = DescribeArrival(the_dispatcher, request, Now())};
  const auto chance = [&the_dispatcher] {
    return the_dispatcher.random() / (pcg32::max() + 1.0);
  };
  decision.cause = EvaluateArrival(decision.based_on, chance());
  if (decision.cause == admission_cause::kAdmitted) return decision;
  ++the_dispatcher.admission.refused.at(
      static_cast<std::size_t>(decision.cause));
  decision.return_delay = ReturnDelay(decision.based_on, chance());
  return decision;
}

void RecordAdmitted(dispatcher& the_dispatcher,
                    const outbound_request& request) {
  if (!SharesBetweenWorkspaces(the_dispatcher)) return;
  const route* matched = FindRoute(the_dispatcher, request.route_name);
  if (matched == nullptr || !matched->FansOut()) return;
  const microseconds cost =
      the_dispatcher.route_latencies[matched->name].TypicalLatency(
          matched->objective);
  the_dispatcher.admission.planner.OnRequest(ClassOf(*matched, request),
                                             ToMilliseconds(cost), Now());
}

bool UpdateAdmission(dispatcher& the_dispatcher, instant now) {
  if (!SharesBetweenWorkspaces(the_dispatcher)) return false;
  admission_state& state = the_dispatcher.admission;
  sender_counts senders(the_dispatcher);
  // Routes with the same shards are planned together, for the highest coverage.
  std::map<std::uint64_t, const route*> routes;
  for (const route& each : the_dispatcher.table->Routes()) {
    if (!each.FansOut()) continue;
    const route*& strictest = routes[ServiceSetOf(each)];
    if (strictest == nullptr || strictest->min_coverage < each.min_coverage) {
      strictest = &each;
    }
  }
  bool is_new = false;
  for (const auto& [set, matched] : routes) {
    if (!state.planner.Observes(set, now)) continue;
    const auto report = state.planner.Update(
        set, LoadOf(the_dispatcher, *matched, senders, now), state.reports,
        now);
    if (report) is_new = Report(the_dispatcher, *report, now) || is_new;
  }
  return is_new;
}

bool ReceiveAdmissionReports(dispatcher& the_dispatcher,
                             const std::vector<admission_report>& reports,
                             instant now) {
  bool is_new = false;
  for (const admission_report& report : reports) {
    is_new = Report(the_dispatcher, report, now) || is_new;
  }
  return is_new;
}

void StartAdmission(dispatcher& the_dispatcher,
                    std::function<void()> on_overload) {
  the_dispatcher.loop.Every(
      admission_planner::kPeriod,
      [&the_dispatcher, on_overload = std::move(on_overload)] {
        if (UpdateAdmission(the_dispatcher, Now())) on_overload();
      });
  the_dispatcher.loop.Every(loop_delay::kPeriod, [&the_dispatcher,
                                                  before = Now()]() mutable {
    const instant now = Now();
    the_dispatcher.admission.delay.OnTick(now - before - loop_delay::kPeriod);
    before = now;
  });
}

}  // namespace basilhoist
