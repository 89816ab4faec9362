#include "basilhoist/admission/admission_planner.h"

#include <algorithm>
#include <cmath>

#include "basilhoist/admission/fair_shares.h"

namespace basilhoist {
namespace {

// Part of the way to a new value in each period. Two such filters in a row are
// behind by about 1 s, which is what reports take to reach all instances.
constexpr double kShareStep = 0.4;
constexpr double kCapacityStep = 0.5;
// A class below this cost per second, relative to all, is forgotten.
constexpr double kForgottenPart = 1e-4;
// Limits the demand that is inferred from few admitted requests.
constexpr double kMinAppliedShare = 0.1;
// Workspaces that a report names; all others share one value.
constexpr std::size_t kMaxNamed = 8;
constexpr std::size_t kMaxPriorities =
    admission_reports::kMaxShares - kMaxNamed;

}  // namespace

void admission_planner::OnRequest(const admission_class& requests, double cost,
                                  instant now) {
  plan& state = plans_[requests.service_set];
  state.requests.Add(1, now);
  state.classes[{requests.priority, requests.workspace}].cost.Add(cost, now);
}

bool admission_planner::Observes(std::uint64_t service_set, instant now) {
  const auto found = plans_.find(service_set);
  if (found == plans_.end()) return false;
  const double requests = found->second.requests.At(now);
  // The capacity that was estimated before a pause says nothing after it.
  if (requests < kMinRequests) found->second.limits = false;
  if (requests < kForgottenPart) plans_.erase(found);
  return requests >= kMinRequests;
}

std::optional<admission_report> admission_planner::Update(
    std::uint64_t service_set, const shard_set_load& load,
    const admission_reports& reports, instant now) {
  if (!Observes(service_set, now)) return std::nullopt;
  plan& state = plans_.at(service_set);
  FollowShares(service_set, state, reports, now);
  UpdateCapacity(state, load, now);
  admission_report report{.origin = origin_, .service_set = service_set};
  if (state.limits) report.shares = Shares(state, now);
  if (!report.shares.empty()) return report;
  state.limits = false;
  // Where others see an overload, this view counts too.
  if (!reports.Knows(service_set, now)) return std::nullopt;
  return report;
}

void admission_planner::FollowShares(std::uint64_t service_set, plan& state,
                                     const admission_reports& reports,
                                     instant now) const {
  double total = 0;
  for (auto& [id, each] : state.classes) {
    const double share = reports
                             .ShareOf({.service_set = service_set,
                                       .priority = id.first,
                                       .workspace = id.second},
                                      now)
                             .share;
    each.reported_share += kShareStep * (share - each.reported_share);
    each.applied_share +=
        kShareStep * (each.reported_share - each.applied_share);
    total += each.cost.At(now);
  }
  std::erase_if(state.classes, [&](const auto& entry) {
    return entry.second.cost.At(now) <= kForgottenPart * total;
  });
}

void admission_planner::UpdateCapacity(plan& state, const shard_set_load& load,
                                       instant now) {
  double admitted = 0;
  for (const auto& [id, each] : state.classes) {
    admitted += each.cost.PerSecond(now);
  }
  const double factor = BestRateFactor(load);
  const double capacity = factor * admitted;
  if (!state.limits) {
    state.limits = factor < 1;
    state.capacity = capacity;
    return;
  }
  state.capacity += kCapacityStep * (capacity - state.capacity);
}

std::vector<admission_report_share> admission_planner::Shares(const plan& state,
                                                              instant now) {
  std::vector<request_demand> demands;
  for (const auto& [id, each] : state.classes) {
    demands.push_back({.priority = id.first,
                       .workspace = id.second,
                       .rate = each.cost.PerSecond(now) /
                               std::max(kMinAppliedShare, each.applied_share)});
  }
  const std::vector<double> shares = AllocateShares(demands, state.capacity);
  // The workspace that is refused least stands for those not named.
  std::map<unsigned, double> others;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    double& most = others[demands[i].priority];
    most = std::max(most, shares[i]);
  }
  std::vector<admission_report_share> result;
  const auto add = [&result](unsigned priority, std::uint64_t workspace,
                             double share) {
    result.push_back(
        {.workspace = workspace,
         .permille = static_cast<std::uint16_t>(std::lround(share * kPermille)),
         .priority = static_cast<std::uint8_t>(priority)});
  };
  // A report with more entries than others take would limit nobody.
  std::map<unsigned, double> refused;  // cost per second
  for (std::size_t i = 0; i < demands.size(); ++i) {
    refused[demands[i].priority] += (1 - shares[i]) * demands[i].rate;
  }
  std::vector<unsigned> priorities;
  for (const auto& [priority, share] : others) {
    if (share < 1) priorities.push_back(priority);
  }
  if (priorities.size() > kMaxPriorities) {
    std::sort(priorities.begin(), priorities.end(),
              [&refused](unsigned a, unsigned b) {
                return refused.at(a) > refused.at(b);
              });
    priorities.resize(kMaxPriorities);
  }
  for (const unsigned priority : priorities) {
    add(priority, 0, others.at(priority));
  }
  std::vector<std::size_t> named;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    if (demands[i].workspace != 0 &&
        shares[i] < others.at(demands[i].priority)) {
      named.push_back(i);
    }
  }
  std::sort(named.begin(), named.end(), [&](std::size_t a, std::size_t b) {
    return (1 - shares[a]) * demands[a].rate >
           (1 - shares[b]) * demands[b].rate;
  });
  if (named.size() > kMaxNamed) named.resize(kMaxNamed);
  for (const std::size_t i : named) {
    add(demands[i].priority, demands[i].workspace, shares[i]);
  }
  return result;
}

}  // namespace basilhoist
