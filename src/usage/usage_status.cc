#include "basilhoist/usage/usage_status.h"

#include <string>
#include <utility>

namespace basilhoist {
namespace {

constexpr std::size_t kMaxStates = 20;

prometheus::MetricFamily ByBasis(
    const char* name, const char* help,
    const std::array<std::uint64_t, kUsageBasisCount>& counts) {
  prometheus::MetricFamily family{
      .name = name, .help = help, .type = prometheus::MetricType::Counter};
  for (std::size_t i = 0; i < counts.size(); ++i) {
    prometheus::ClientMetric metric;
    metric.label = {
        {.name = "basis", .value = Name(static_cast<usage_basis>(i))}};
    metric.counter.value = static_cast<double>(counts.at(i));
    family.metric.push_back(std::move(metric));
  }
  return family;
}

prometheus::MetricFamily Single(const char* name, const char* help,
                                prometheus::MetricType type, double value) {
  prometheus::ClientMetric metric;
  metric.counter.value = value;
  metric.gauge.value = value;
  return {.name = name, .help = help, .type = type, .metric = {metric}};
}

}  // namespace

std::vector<prometheus::MetricFamily> UsageMetrics(
    const usage_exchange& usage) {
  constexpr auto kCounter = prometheus::MetricType::Counter;
  constexpr auto kGauge = prometheus::MetricType::Gauge;
  const usage_limiter& limiter = usage.Limiter();
  const usage_counts& counts = limiter.Counts();
  return {
      ByBasis("basilhoist_usage_admitted_total",
              "Requests within usage limits, by what decided.",
              counts.admitted),
      ByBasis("basilhoist_usage_refused_total",
              "Requests above usage limits, by what decided.", counts.refused),
      Single("basilhoist_usage_given_back_total",
             "Counted requests that were sent to no server.", kCounter,
             static_cast<double>(counts.given_back)),
      Single("basilhoist_usage_reports_sent_total",
             "Reports to keepers of workspaces.", kCounter,
             static_cast<double>(counts.reports_sent)),
      Single("basilhoist_usage_answers_sent_total",
             "Answers to reports, as a keeper.", kCounter,
             static_cast<double>(counts.answers_sent)),
      Single("basilhoist_usage_notices_sent_total",
             "Notices that a limit is used up, as a keeper.", kCounter,
             static_cast<double>(counts.notices_sent)),
      Single("basilhoist_usage_grants_received_total",
             "Grants (leases of requests) that keepers have sent.", kCounter,
             static_cast<double>(counts.grants_received)),
      Single("basilhoist_usage_sent_bytes_total",
             "Bytes sent for usage limits.", kCounter,
             static_cast<double>(usage.BytesSent())),
      Single("basilhoist_usage_workspaces",
             "Workspaces with requests here in the last minute.", kGauge,
             static_cast<double>(limiter.Size())),
      Single("basilhoist_usage_kept_workspaces",
             "Workspaces that this instance keeps the counts of.", kGauge,
             static_cast<double>(limiter.Keeper().Size())),
      Single("basilhoist_usage_pressed_workspaces",
             "Of these, those whose limits are nearly used up.", kGauge,
             static_cast<double>(limiter.Keeper().PressedCount()))};
}

nlohmann::ordered_json UsageDump(const usage_exchange& usage) {
  nlohmann::ordered_json callers = nlohmann::ordered_json::array();
  for (const usage_state& state : usage.Limiter().States(kMaxStates, Now())) {
    nlohmann::ordered_json keepers = nlohmann::ordered_json::array();
    for (const endpoint& keeper : state.keepers) {
      keepers.push_back(Format(keeper));
    }
    callers.push_back({{"workspace", state.workspace},
                       {"rate_per_s", state.limit.rate_per_s},
                       {"burst", state.limit.burst},
                       {"admitted", state.admitted},
                       {"granted_left", state.granted_left},
                       {"fallback", state.disconnected},
                       {"keepers", std::move(keepers)}});
  }
  return {{"kept_workspaces", usage.Limiter().Keeper().Size()},
          {"pressed_workspaces", usage.Limiter().Keeper().PressedCount()},
          {"workspaces", std::move(callers)}};
}

}  // namespace basilhoist
