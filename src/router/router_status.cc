#include "basilhoist/router/router_status.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "basilhoist/router/pace_metrics.h"
#include "basilhoist/usage/usage_status.h"

namespace basilhoist {
namespace {

using named_counter = std::pair<const char*, std::uint64_t>;

prometheus::Histogram& AddAnswerLatency(prometheus::Registry& registry) {
  return prometheus::BuildHistogram()
      .Name("basilhoist_answer_seconds")
      .Help("Time from a request's arrival to its answer.")
      .Register(registry)
      .Add({}, prometheus::Histogram::BucketBoundaries{0.01, 0.02, 0.04, 0.06,
                                                       0.08, 0.1, 0.12, 0.15,
                                                       0.2, 0.3, 0.5, 1, 2, 5});
}

prometheus::MetricFamily BlockedServers(const dispatch_counts& sends) {
  prometheus::MetricFamily family{
      .name = "basilhoist_servers_barred_total",
      .help = "Servers passed over, by what kept a send from them.",
      .type = prometheus::MetricType::Counter};
  for (std::size_t i = 1; i < kSendBlockCount; ++i) {
    prometheus::ClientMetric metric;
    metric.label = {{.name = "bar",
                     .value = std::string(Name(static_cast<send_block>(i)))}};
    metric.counter.value = static_cast<double>(sends.blocked.at(i));
    family.metric.push_back(std::move(metric));
  }
  return family;
}

prometheus::MetricFamily OverloadRefusals(const admission_state& admission) {
  prometheus::MetricFamily family{
      .name = "basilhoist_overload_refused_total",
      .help = "Requests refused before they were sent, by what decided it.",
      .type = prometheus::MetricType::Counter};
  for (std::size_t i = 1; i < kAdmissionCauseCount; ++i) {
    prometheus::ClientMetric metric;
    metric.label = {
        {.name = "cause",
         .value = std::string(Name(static_cast<admission_cause>(i)))}};
    metric.counter.value = static_cast<double>(admission.refused.at(i));
    family.metric.push_back(std::move(metric));
  }
  return family;
}

prometheus::MetricFamily StoreEra(const cluster_state& cluster) {
  prometheus::ClientMetric era;
  era.gauge.value = static_cast<double>(cluster.StoreEra());
  return {.name = "basilhoist_store_era",
          .help = "Era that the store states.",
          .type = prometheus::MetricType::Gauge,
          .metric = {era}};
}

std::vector<named_counter> Counters(const router_parts& parts) {
  const request_counts& handled = parts.requests.Counts();
  const dispatch_counts& sends = parts.dispatch.counts;
  return {{"requests", handled.requests},
          {"answered_full", handled.answered_full},
          {"answered_partial", handled.answered_partial},
          {"refused", handled.refused},
          {"unauthorized", handled.unauthorized},
          {"failed", handled.failed},
          {"callers_gone", handled.callers_gone},
          {"handed_over", handled.handed_over},
          {"taken_over", handled.taken_over},
          {"sends", sends.sends},
          {"second_sends", sends.hedged_sends},
          {"retries", sends.retries},
          {"budget_refusals", sends.budget_refusals},
          {"rejected_sends", sends.rejected_sends},
          {"rejected_calls", sends.rejected_calls},
          {"hedges_deferred", sends.hedges_deferred},
          {"hedges_withheld", sends.hedges_withheld},
          {"broken_in_run", sends.broken_in_flight},
          {"crashes_confirmed", sends.crashes_confirmed},
          {"contained_sends", sends.contained},
          {"revoked_sends", sends.revoked},
          {"limited_first_sends", sends.limited_first_sends},
          {"limited_extra_sends", sends.limited_extra_sends},
          {"connections_opened", parts.pool.ConnectionsOpened()},
          {"store_calls", parts.cluster.StoreCalls()},
          {"told_own_domain_bytes", parts.cluster.Exchange().LocalBytes()},
          {"told_other_domains_bytes", parts.cluster.Exchange().RemoteBytes()}};
}

prometheus::MetricFamily CounterFamily(const named_counter& counter) {
  const auto& [name, value] = counter;
  prometheus::ClientMetric metric;
  metric.counter.value = static_cast<double>(value);
  return {.name = std::string("basilhoist_") + name + "_total",
          .help = std::string("Count of ") + name + ".",
          .type = prometheus::MetricType::Counter,
          .metric = {metric}};
}

std::size_t WorkspaceCount(const dispatcher& dispatch) {
  const bool has_workspaces = dispatch.table && dispatch.table->Workspaces();
  return has_workspaces ? dispatch.table->Workspaces()->Workspaces().size() : 0;
}

nlohmann::ordered_json FeedsDump(const cluster_state& cluster) {
  nlohmann::ordered_json feeds = nlohmann::ordered_json::array();
  for (const auto& feed : cluster.Feeds()) {
    feeds.push_back({{"kind", feed->Kind()},
                     {"known", feed->State().HasSnapshot()},
                     {"store_answers", feed->State().Healthy()},
                     {"era", feed->State().Snapshot().era},
                     {"revision", feed->State().Snapshot().revision},
                     {"beliefs", feed->State().Beliefs().Active()},
                     {"objects", feed->State().Snapshot().objects.size()},
                     {"digest", feed->Digest()}});
  }
  return feeds;
}

}  // namespace

router_status::router_status(const router_parts& parts)
    : parts_(parts), answer_latency_(AddAnswerLatency(registry_)) {}

void router_status::OnLatency(microseconds took) {
  answer_latency_.Observe(ToMilliseconds(took) / 1000);
}

std::string router_status::Dump(bool ready) const {
  return nlohmann::ordered_json{
      {"name", parts_.settings.name},
      {"failure_domain", parts_.settings.failure_domain},
      {"ready", ready},
      {"isolated", parts_.dispatch.isolation.Isolated()},
      {"table_version",
       parts_.dispatch.table ? parts_.dispatch.table->Version() : 0},
      {"workspaces", WorkspaceCount(parts_.dispatch)},
      {"usage", UsageDump(parts_.usage)},
      {"servers", parts_.directory.Size()},
      {"evacuated", parts_.directory.Evacuated()},
      {"instances", parts_.dispatch.instance_count},
      {"part", parts_.dispatch.instance_share},
      {"relay_part", parts_.dispatch.relay_share},
      {"limited_servers", parts_.dispatch.rate_limits.Size()},
      {"servers_reported_slow", parts_.dispatch.peer_reports.Size(Now())},
      {"paced", parts_.dispatch.pace.Dump(Now())},
      {"rollouts", parts_.rollouts ? parts_.rollouts->Dump(Now())
                                   : nlohmann::ordered_json::array()},
      {"overload_reports", parts_.dispatch.admission.reports.Size(Now())},
      {"loop_delay_ms",
       ToMilliseconds(parts_.dispatch.admission.delay.Lasting())},
      {"reads_store", parts_.cluster.ReadsStore()},
      {"readers_heard", parts_.cluster.Readers().readers},
      {"requests_in_flight", parts_.requests.InFlight()},
      {"caller_connections", parts_.caller_server.Connections()},
      {"clients", parts_.clients.Dump()},
      {"feeds", FeedsDump(parts_.cluster)}}
      .dump(2);
}

std::string router_status::Metrics() const {
  std::vector<prometheus::MetricFamily> families = registry_.Collect();
  for (auto& family : parts_.clients.Metrics()) {
    families.push_back(std::move(family));
  }
  families.push_back(BlockedServers(parts_.dispatch.counts));
  std::ranges::move(UsageMetrics(parts_.usage), std::back_inserter(families));
  for (prometheus::MetricFamily& family : PaceMetrics(parts_.dispatch.pace)) {
    families.push_back(std::move(family));
  }
  families.push_back(OverloadRefusals(parts_.dispatch.admission));
  families.push_back(StoreEra(parts_.cluster));
  for (const named_counter& counter : Counters(parts_)) {
    families.push_back(CounterFamily(counter));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace basilhoist
