#include "basilhoist/dispatch/server_rate_limits.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace basilhoist {

std::optional<advertised_rate> ParseRateLimit(std::string_view text) {
  double per_s = 0;
  const char* end = text.data() + text.size();
  const auto read =
      std::from_chars(text.data(), end, per_s, std::chars_format::fixed);
  if (read.ptr != end || text.empty() || std::signbit(per_s)) {
    return std::nullopt;
  }
  const bool too_large = read.ec == std::errc::result_out_of_range;
  if (read.ec != std::errc() && !too_large) return std::nullopt;
  if (!too_large && !std::isfinite(per_s)) return std::nullopt;
  if (too_large || per_s > server_rate_limits::kMaxRate) {
    return advertised_rate{.per_s = server_rate_limits::kMaxRate,
                           .adjusted = true};
  }
  return advertised_rate{.per_s = per_s};
}

bool server_rate_limits::record::Expired(instant now) const {
  return now - observed_at >= (ended ? kReleaseTime : kLifetime);
}

bool server_rate_limits::OnAdvertised(std::uint64_t incarnation,
                                      double rate_per_s, instant now) {
  RemoveExpired(now);
  const auto [entry, added] = records_.try_emplace(incarnation);
  record& current = entry->second;
  const bool changed =
      added || current.ended || current.rate_per_s != rate_per_s;
  current = {.rate_per_s = rate_per_s, .observed_at = now};
  return changed;
}

bool server_rate_limits::OnNotAdvertised(std::uint64_t incarnation,
                                         instant sent_at, instant now) {
  if (records_.empty()) return false;
  const auto found = records_.find(incarnation);
  if (found == records_.end()) return false;
  record& current = found->second;
  if (current.ended || sent_at < current.observed_at) return false;
  current.ended = true;
  current.observed_at = now;
  return true;
}

// The age of the relay's knowledge is kept. Otherwise a limit that has ended
// would be passed on as new again and again.
bool server_rate_limits::OnRelayed(const rate_limit_report& report,
                                   instant now) {
  if (!(report.per_s >= 0)) return false;
  RemoveExpired(now);
  const auto [entry, added] = records_.try_emplace(
      report.run, record{.rate_per_s = report.per_s,
                         .ended = report.ended,
                         .observed_at = now - milliseconds(report.age_ms)});
  if (!added) OnReport(report, now);
  return added;
}

void server_rate_limits::OnReport(const rate_limit_report& report,
                                  instant now) {
  const auto found = records_.find(report.run);
  if (found == records_.end() || !(report.per_s >= 0)) return;
  record& current = found->second;
  const instant observed_at = now - milliseconds(report.age_ms);
  if (observed_at <= current.observed_at) return;
  current = {.rate_per_s = report.per_s,
             .ended = report.ended,
             .observed_at = observed_at};
}

std::optional<double> server_rate_limits::RateOf(std::uint64_t incarnation,
                                                 instant now) const {
  if (records_.empty()) return std::nullopt;
  const auto found = records_.find(incarnation);
  if (found == records_.end() || found->second.Expired(now)) {
    return std::nullopt;
  }
  const record& current = found->second;
  const double rate_per_s = std::clamp(current.rate_per_s, kMinRate, kMaxRate);
  const microseconds fresh =
      kFreshTime + microseconds(static_cast<std::int64_t>(1e6 * kFreshRequests /
                                                          rate_per_s));
  const microseconds age = now - current.observed_at;
  const microseconds growing =
      current.ended ? age : std::max(age - fresh, microseconds(0));
  const microseconds doubling =
      current.ended ? kReleaseDoubling : kStaleDoubling;
  const double doublings = static_cast<double>(growing.count()) /
                           static_cast<double>(doubling.count());
  return rate_per_s * std::exp2(doublings);
}

std::optional<rate_limit_report> server_rate_limits::ReportOf(
    std::uint64_t incarnation, instant now) const {
  const auto found = records_.find(incarnation);
  if (found == records_.end() || found->second.Expired(now)) {
    return std::nullopt;
  }
  const record& known = found->second;
  return rate_limit_report{.run = incarnation,
                           .per_s = known.rate_per_s,
                           .ended = known.ended,
                           .age_ms = static_cast<std::uint32_t>(
                               CeilMilliseconds(now - known.observed_at))};
}

std::vector<rate_limit_report> server_rate_limits::NextReports(std::size_t max,
                                                               instant now) {
  RemoveExpired(now);
  std::vector<rate_limit_report> reports;
  auto next = records_.upper_bound(last_reported_);
  for (std::size_t i = 0; i < records_.size() && reports.size() < max; ++i) {
    if (next == records_.end()) next = records_.begin();
    const auto report = ReportOf(next->first, now);
    ++next;
    if (!report || milliseconds(report->age_ms) >= kReportTime) continue;
    last_reported_ = report->run;
    reports.push_back(*report);
  }
  return reports;
}

void server_rate_limits::RemoveExpired(instant now) {
  std::erase_if(records_,
                [now](const auto& entry) { return entry.second.Expired(now); });
}

}  // namespace basilhoist
