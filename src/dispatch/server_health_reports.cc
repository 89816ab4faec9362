#include "basilhoist/dispatch/server_health_reports.h"

#include <algorithm>
#include <cmath>

namespace basilhoist {
namespace {

// Slowness that is reported of a server with an overdue send.
constexpr double kStalledSlowness = 6;

constexpr double kUnit = 0.1;  // of the slowness in messages

}  // namespace

std::vector<server_health_report> server_health_reports::OnReports(
    const std::vector<server_health_report>& reports, instant now) {
  RemoveExpired(now);
  std::vector<server_health_report> first;
  for (const server_health_report& report : reports) {
    if (OnReport(report, now)) first.push_back(report);
  }
  return first;
}

// A report of unknown age or of nonsense must not have a lasting effect, so the
// values are limited here.
bool server_health_reports::OnReport(const server_health_report& report,
                                     instant now) {
  const double slowness =
      std::clamp(report.slowness_tenths * kUnit, 1.0, kMaxSlowness);
  const instant observed_at = now - milliseconds(report.age_ms);
  if (now - observed_at >= kLifetime) return false;
  const auto [at, is_first] = records_.try_emplace(report.run);
  if (observed_at < at->second.observed_at) return false;
  at->second = {.slowness = slowness, .observed_at = observed_at};
  return is_first;
}

double server_health_reports::SlownessOf(std::uint64_t incarnation,
                                         instant last_reply,
                                         instant now) const {
  const auto found = records_.find(incarnation);
  if (found == records_.end()) return 1;
  const record& known = found->second;
  const microseconds age = now - known.observed_at;
  if (age >= kLifetime || last_reply > known.observed_at) return 1;
  const double left =
      1 - static_cast<double>(age.count()) /
              static_cast<double>(microseconds(kLifetime).count());
  return 1 + (known.slowness - 1) * std::min(1.0, left);
}

std::vector<server_health_report> server_health_reports::NextReports(
    const server_directory& directory, const server_stats& stats,
    std::size_t max, instant now) {
  std::vector<server_health_report> reports;
  const auto& servers = directory.All();
  auto next = servers.upper_bound(last_reported_);
  for (std::size_t i = 0; i < servers.size() && reports.size() < max; ++i) {
    if (next == servers.end()) next = servers.begin();
    const listed_server& server = *next->second;
    ++next;
    const server_health health = stats.HealthOf(server.key, now);
    const double slowness = health.stalled
                                ? std::max(kStalledSlowness, health.slowness)
                                : health.slowness;
    const microseconds age =
        health.stalled ? microseconds(0) : now - health.last_end;
    if (slowness < kMinSlowness || age >= kLifetime) continue;
    reports.push_back(
        {.run = server.incarnation,
         .slowness_tenths =
             static_cast<std::uint16_t>(std::lround(slowness / kUnit)),
         .age_ms = static_cast<std::uint16_t>(CeilMilliseconds(age))});
    last_reported_ = server.info.id;
  }
  return reports;
}

std::size_t server_health_reports::Size(instant now) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [now](const auto& entry) {
        return now - entry.second.observed_at < kLifetime;
      }));
}

void server_health_reports::RemoveExpired(instant now) {
  std::erase_if(records_, [now](const auto& entry) {
    return now - entry.second.observed_at >= kLifetime;
  });
}

}  // namespace basilhoist
