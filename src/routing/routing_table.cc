#include "basilhoist/routing/routing_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace basilhoist {
namespace {

std::string HostWithoutPort(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return name;
}

}  // namespace

bool routing_table_options::operator==(
    const routing_table_options& other) const {
  const bool same_workspaces =
      workspaces == other.workspaces ||
      (workspaces && other.workspaces && *workspaces == *other.workspaces);
  return same_workspaces && version == other.version &&
         routes == other.routes && services == other.services &&
         limits == other.limits;
}

routing_table::routing_table(routing_table_options options)
    : options_(std::move(options)) {
  for (const route& each : options_.routes) {
    by_host_[HostWithoutPort(each.host)].push_back(&each);
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const route* left, const route* right) {
                       return left->path_prefix.size() >
                              right->path_prefix.size();
                     });
  }
  for (const service_settings& each : options_.services) {
    by_service_.emplace(each.name, &each);
  }
  for (const route& each : options_.routes) {
    shards_.insert(each.shards.begin(), each.shards.end());
  }
  for (const route& each : options_.routes) {
    for (const weighted_service& alone : each.services) {
      shards_.erase(alone.service);
    }
  }
}

const route* routing_table::Find(std::string_view host,
                                 std::string_view target) const {
  const auto found = by_host_.find(HostWithoutPort(host));
  if (found == by_host_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const route* each : found->second) {
    if (path.starts_with(each->path_prefix)) return each;
  }
  return nullptr;
}

const service_settings* routing_table::Service(const std::string& name) const {
  const auto found = by_service_.find(name);
  return found == by_service_.end() ? nullptr : found->second;
}

// Smooth weighted round robin: for each request every service's credit grows by
// its weight; the service with the most credit is chosen, and its credit is
// reduced by the sum of all weights.
const std::string& weighted_round_robin::Next(const route& value) {
  split_state& state = by_route_[value.name];
  if (state.services != value.services) {
    state = {.services = value.services,
             .credit = std::vector<double>(value.services.size(), 0)};
  }
  double sum = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < state.services.size(); ++i) {
    sum += state.services[i].weight;
    state.credit[i] += state.services[i].weight;
    if (state.credit[i] > state.credit[best]) best = i;
  }
  state.credit[best] -= sum;
  return value.services[best].service;
}

}  // namespace basilhoist
