#include "basilhoist/admission/admission_reports.h"

#include <algorithm>

namespace basilhoist {

// Ages add up as reports are passed on, so a report ends with its origin.
void admission_reports::OnReports(const std::vector<admission_report>& reports,
                                  instant now) {
  RemoveExpired(now);
  for (const admission_report& report : reports) {
    const instant made_at = now - milliseconds(report.age_ms);
    if (now - made_at >= kLifetime || report.shares.size() > kMaxShares) {
      continue;
    }
    const key id{.service_set = report.service_set, .origin = report.origin};
    const auto known = records_.find(id);
    if (known != records_.end() && known->second.made_at >= made_at) continue;
    if (known == records_.end() && records_.size() >= kMaxReports &&
        !RemoveOlderThan(made_at)) {
      continue;
    }
    records_[id] = {.report = report, .made_at = made_at};
  }
}

bool admission_reports::RemoveOlderThan(instant time) {
  const auto oldest = std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        return a.second.made_at < b.second.made_at;
      });
  if (oldest == records_.end() || oldest->second.made_at >= time) return false;
  records_.erase(oldest);
  return true;
}

std::vector<admission_report> admission_reports::NextReports(
    std::size_t max, instant now) const {
  std::vector<admission_report> reports;
  for (const auto& [id, known] : records_) {
    const microseconds age = std::max(now - known.made_at, microseconds(0));
    if (age >= kFullEffect) continue;
    reports.push_back(known.report);
    reports.back().age_ms = static_cast<std::uint16_t>(CeilMilliseconds(age));
  }
  std::sort(reports.begin(), reports.end(),
            [](const admission_report& a, const admission_report& b) {
              return a.age_ms < b.age_ms;
            });
  if (reports.size() > max) reports.resize(max);
  return reports;
}

// A share without a workspace applies to all workspaces that are not named.
double admission_reports::ShareIn(const admission_report& report,
                                  const admission_class& requests) {
  double share = 1;
  for (const admission_report_share& each : report.shares) {
    if (each.priority != requests.priority) continue;
    const bool names_it = each.workspace == requests.workspace;
    if (!names_it && each.workspace != 0) continue;
    share = std::clamp(each.permille / kPermille, kMinShare, 1.0);
    if (names_it) break;
  }
  return share;
}

admitted_share admission_reports::ShareOf(const admission_class& requests,
                                          instant now) const {
  admitted_share result{.age = kLifetime};
  double sum = 0;
  double weights = 0;
  for (auto at = records_.lower_bound({.service_set = requests.service_set});
       at != records_.end() && at->first.service_set == requests.service_set;
       ++at) {
    const microseconds age =
        std::max(now - at->second.made_at, microseconds(0));
    if (age >= kLifetime) continue;
    const double effect = std::min(
        1.0,
        static_cast<double>((kLifetime - age).count()) /
            static_cast<double>(microseconds(kLifetime - kFullEffect).count()));
    sum += 1 - effect * (1 - ShareIn(at->second.report, requests));
    weights += 1;
    ++result.reports;
    result.age = std::min(result.age, age);
  }
  if (result.reports == 0) return {};
  result.share = sum / weights;
  return result;
}

bool admission_reports::Knows(std::uint64_t service_set, instant now) const {
  return std::any_of(records_.begin(), records_.end(), [&](const auto& each) {
    return each.first.service_set == service_set &&
           !each.second.report.shares.empty() &&
           now - each.second.made_at < kLifetime;
  });
}

std::size_t admission_reports::Size(instant now) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [now](const auto& each) {
        return now - each.second.made_at < kLifetime;
      }));
}

void admission_reports::RemoveExpired(instant now) {
  std::erase_if(records_, [now](const auto& each) {
    return now - each.second.made_at >= kLifetime;
  });
}

}  // namespace basilhoist
