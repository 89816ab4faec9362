#include "basilhoist/router/pace_metrics.h"

#include <string>
#include <utility>

namespace basilhoist {
namespace {

prometheus::MetricFamily Family(const char* name, const char* help,
                                prometheus::MetricType type) {
  return {.name = std::string("basilhoist_") + name,
          .help = help,
          .type = type,
          .metric = {}};
}

// A counter for each enumerator, with its name as a label.
template <typename Label, std::size_t kCount>
prometheus::MetricFamily CountersBy(
    const char* label, prometheus::MetricFamily family,
    const std::array<std::uint64_t, kCount>& counts) {
  for (std::size_t i = 0; i < kCount; ++i) {
    prometheus::ClientMetric metric;
    metric.label = {
        {.name = label, .value = std::string(Name(static_cast<Label>(i)))}};
    metric.counter.value = static_cast<double>(counts.at(i));
    family.metric.push_back(std::move(metric));
  }
  return family;
}

}  // namespace

std::vector<prometheus::MetricFamily> PaceMetrics(const pace_controller& pace) {
  const pace_counts& counts = pace.Counts();
  prometheus::MetricFamily paced =
      Family("paced_servers", "Servers whose share is limited now.",
             prometheus::MetricType::Gauge);
  prometheus::ClientMetric size;
  size.gauge.value = static_cast<double>(pace.Size());
  paced.metric.push_back(size);
  prometheus::MetricFamily forced =
      Family("paced_forced_sends_total",
             "Sends to paced servers because no other could be used.",
             prometheus::MetricType::Counter);
  prometheus::ClientMetric sends;
  sends.counter.value = static_cast<double>(counts.forced_sends);
  forced.metric.push_back(sends);
  return {std::move(paced), std::move(forced),
          CountersBy<pace_reason>(
              "reason",
              Family("paces_begun_total", "Paces begun, by what began them.",
                     prometheus::MetricType::Counter),
              counts.begun),
          CountersBy<pace_change>(
              "change",
              Family("pace_changes_total", "Changes of paces, by kind.",
                     prometheus::MetricType::Counter),
              counts.changes)};
}

}  // namespace basilhoist
