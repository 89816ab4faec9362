#include "basilhoist/router/client_monitor.h"

#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

prometheus::ClientMetric Counter(
    std::vector<prometheus::ClientMetric::Label> labels, std::uint64_t value) {
  prometheus::ClientMetric metric;
  metric.label = std::move(labels);
  metric.counter.value = static_cast<double>(value);
  return metric;
}

prometheus::ClientMetric Gauge(
    std::vector<prometheus::ClientMetric::Label> labels, std::size_t value) {
  prometheus::ClientMetric metric;
  metric.label = std::move(labels);
  metric.gauge.value = static_cast<double>(value);
  return metric;
}

close_reason ReasonAt(std::size_t index) {
  return static_cast<close_reason>(index);
}

memory_use UseAt(std::size_t index) { return static_cast<memory_use>(index); }

}  // namespace

client_monitor::client_monitor(event_loop& loop, memory_budget_ptr memory,
                               std::vector<named_server> servers,
                               const relay_links& links)
    : memory_(std::move(memory)),
      servers_(std::move(servers)),
      links_(links),
      logged_over_limit_(servers_.size(), 0) {
  loop.Every(kLogInterval, [this] { LogChanges(); });
}

void client_monitor::LogChanges() {
  if (memory_->GaveWay() != logged_gave_way_ ||
      memory_->Refused() != logged_refused_) {
    event_line line("memory", "clients_gave_way");
    line.With("gave_way", memory_->GaveWay() - logged_gave_way_)
        .With("requests_refused", memory_->Refused() - logged_refused_)
        .With("limit_bytes", memory_->Total())
        .With("used_bytes", memory_->Used());
    for (std::size_t i = 0; i < kMemoryUseCount; ++i) {
      line.With(std::string(Name(UseAt(i))).c_str(), memory_->Used(UseAt(i)));
    }
    logged_gave_way_ = memory_->GaveWay();
    logged_refused_ = memory_->Refused();
  }
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const std::uint64_t closed =
        servers_[i].server->Closed(close_reason::kTooManyConnections);
    if (closed == logged_over_limit_[i]) continue;
    event_line("http", "too_many_connections")
        .With("listener", servers_[i].name)
        .With("closed_or_refused", closed - logged_over_limit_[i])
        .With("open", servers_[i].server->Connections());
    logged_over_limit_[i] = closed;
  }
}

nlohmann::ordered_json client_monitor::Dump() const {
  nlohmann::ordered_json by_use;
  for (std::size_t i = 0; i < kMemoryUseCount; ++i) {
    by_use[std::string(Name(UseAt(i)))] = memory_->Used(UseAt(i));
  }
  nlohmann::ordered_json listeners;
  for (const named_server& each : servers_) {
    nlohmann::ordered_json closed;
    for (std::size_t i = 0; i < kCloseReasonCount; ++i) {
      closed[std::string(Name(ReasonAt(i)))] = each.server->Closed(ReasonAt(i));
    }
    listeners[each.name] = {{"open", each.server->Connections()},
                            {"unsent_replies", each.server->UnsentReplies()},
                            {"closed", std::move(closed)}};
  }
  return {{"limit_bytes", memory_->Total()},
          {"used_bytes", memory_->Used()},
          {"peak_bytes", memory_->Peak()},
          {"used_by", std::move(by_use)},
          {"gave_way", memory_->GaveWay()},
          {"requests_refused", memory_->Refused()},
          {"links_given_up", links_.LinksGivenUp()},
          {"listeners", std::move(listeners)}};
}

std::vector<prometheus::MetricFamily> client_monitor::Metrics() const {
  prometheus::MetricFamily used{.name = "basilhoist_client_memory_bytes",
                                .help = "Memory of clients' buffers, by use.",
                                .type = prometheus::MetricType::Gauge};
  for (std::size_t i = 0; i < kMemoryUseCount; ++i) {
    used.metric.push_back(
        Gauge({{.name = "use", .value = std::string(Name(UseAt(i)))}},
              memory_->Used(UseAt(i))));
  }
  prometheus::MetricFamily limit{.name = "basilhoist_client_memory_limit_bytes",
                                 .help = "Limit on clients' buffers.",
                                 .type = prometheus::MetricType::Gauge,
                                 .metric = {Gauge({}, memory_->Total())}};
  prometheus::MetricFamily gave_way{
      .name = "basilhoist_clients_gave_way_total",
      .help = "Clients whose buffers were given up for lack of memory.",
      .type = prometheus::MetricType::Counter,
      .metric = {Counter({}, memory_->GaveWay())}};
  prometheus::MetricFamily refused{
      .name = "basilhoist_requests_without_memory_total",
      .help = "Whole requests that were refused for lack of memory.",
      .type = prometheus::MetricType::Counter,
      .metric = {Counter({}, memory_->Refused())}};
  prometheus::MetricFamily closed{
      .name = "basilhoist_connections_closed_total",
      .help = "Connections closed and requests refused, by reason.",
      .type = prometheus::MetricType::Counter};
  for (const named_server& each : servers_) {
    for (std::size_t i = 0; i < kCloseReasonCount; ++i) {
      closed.metric.push_back(
          Counter({{.name = "listener", .value = each.name},
                   {.name = "reason", .value = std::string(Name(ReasonAt(i)))}},
                  each.server->Closed(ReasonAt(i))));
    }
  }
  prometheus::MetricFamily links{
      .name = "basilhoist_peer_links_given_up_total",
      .help = "Links of peers that were closed because of the limits.",
      .type = prometheus::MetricType::Counter,
      .metric = {Counter({}, links_.LinksGivenUp())}};
  return {std::move(used),    std::move(limit),  std::move(gave_way),
          std::move(refused), std::move(closed), std::move(links)};
}

}  // namespace basilhoist
