#include "basilhoist/dispatch/dispatcher.h"

#include <algorithm>

namespace basilhoist {
namespace {

// Until replies have come: a part of the objective.
constexpr int kUsualShareOfObjective = 6;
// Beyond the usual time; spread of the work and of the network.
constexpr double kDelayFactor = 1.7;
constexpr milliseconds kLeastDelay{6};
// At an empty budget the delay is so many times longer.
constexpr double kPressureFactor = 2;
// Connections of a server left for its health checks and for instances that
// this one does not know of yet.
constexpr unsigned kReservedConnections = 2;

}  // namespace

microseconds route_timing::Usual(microseconds objective) const {
  return window_.Quantile(objective / kUsualShareOfObjective);
}

microseconds route_timing::SecondSendDelay(microseconds objective,
                                           double pressure) const {
  const double base = static_cast<double>(Usual(objective).count()) *
                      kDelayFactor *
                      (1 + (kPressureFactor - 1) * pressure * pressure);
  return std::max<microseconds>(kLeastDelay,
                                microseconds(static_cast<std::int64_t>(base)));
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
