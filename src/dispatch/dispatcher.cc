#include "basilhoist/dispatch/dispatcher.h"

#include <algorithm>

namespace basilhoist {
namespace {

// Until replies have come: a part of the objective.
constexpr int kUsualShareOfObjective = 6;
// Beyond the usual time; spread of the work and of the network.
constexpr double kDelayFactor = 1.7;
constexpr milliseconds kLeastDelay{6};
// Usual times that a second send takes in all but few cases.
constexpr double kNeededFactor = 2;
// Of the fixed part of the budget, for the first failures after a start.
constexpr double kFirstFixedShare = 0.3;
// Connections of a server left for its health checks and for instances that
// this one does not know of yet.
constexpr unsigned kReservedConnections = 2;

}  // namespace

microseconds route_timing::Usual(microseconds objective) const {
  return window_.Quantile(objective / kUsualShareOfObjective);
}

// Early while the budget is full, so that the answer is early; as it empties,
// as late as a second send can still be in time, since most first sends are
// answered by then.
microseconds route_timing::SecondSendDelay(microseconds objective,
                                           microseconds left,
                                           double pressure) const {
  const auto usual = static_cast<double>(Usual(objective).count());
  const double early = usual * kDelayFactor;
  const double late = std::max(
      early, static_cast<double>(left.count()) - usual * kNeededFactor);
  const double delay = early + (late - early) * pressure * pressure;
  return std::max<microseconds>(kLeastDelay,
                                microseconds(static_cast<std::int64_t>(delay)));
}

// A process that was restarted does not know what it had sent before, so the
// fixed part grows to its whole size over the first window.
retry_budget_options dispatcher::RetryLimits(instant now) const {
  retry_budget_options limits = options.retry;
  const double age = static_cast<double>((now - started).count()) /
                     static_cast<double>(microseconds(limits.window).count());
  limits.fixed *= std::clamp(age, kFirstFixedShare, 1.0);
  return limits;
}

service_settings dispatcher::SettingsOf(const std::string& service) const {
  const service_settings* found = table ? table->Service(service) : nullptr;
  return found == nullptr ? service_settings{.name = service} : *found;
}

unsigned dispatcher::ConnectionsTo(const std::string& service) const {
  const unsigned most = SettingsOf(service).max_connections;
  const unsigned shared =
      most > kReservedConnections ? most - kReservedConnections : 1;
  return std::max(1U, shared / static_cast<unsigned>(instances));
}

}  // namespace basilhoist
