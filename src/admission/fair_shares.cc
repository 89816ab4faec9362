#include "basilhoist/admission/fair_shares.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace basilhoist {
namespace {

// Everyone is served at least this fraction as often as the mean. The
// requirement is a quarter; the rest is a margin for errors of the estimate.
constexpr double kMinRelativeShare = 0.35;

// Returns the rate up to which each of the demands can be served.
double FairLevel(std::vector<double> rates, double capacity) {
  std::sort(rates.begin(), rates.end());
  double left = capacity;
  for (std::size_t i = 0; i < rates.size(); ++i) {
    const double equal = left / static_cast<double>(rates.size() - i);
    if (rates[i] >= equal) return equal;
    left -= rates[i];
  }
  return rates.empty() ? 0 : rates.back();
}

}  // namespace

std::vector<double> AllocateShares(const std::vector<request_demand>& demands,
                                   double capacity) {
  const double total = std::accumulate(
      demands.begin(), demands.end(), 0.0,
      [](double sum, const request_demand& each) { return sum + each.rate; });
  std::vector<double> shares(demands.size(), 1);
  if (total <= capacity || total <= 0) return shares;
  const double least = kMinRelativeShare * std::max(0.0, capacity) / total;
  std::map<unsigned, std::vector<std::size_t>> by_priority;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    by_priority[demands[i].priority].push_back(i);
  }
  double left = std::max(0.0, capacity) - least * total;
  for (const auto& [priority, indexes] : by_priority) {
    std::vector<double> rates;
    for (const std::size_t i : indexes) {
      rates.push_back((1 - least) * demands[i].rate);
    }
    const double level = FairLevel(rates, left);
    for (std::size_t i = 0; i < indexes.size(); ++i) {
      const double served = std::min(rates[i], level);
      const double rate = demands[indexes[i]].rate;
      shares[indexes[i]] = rate > 0 ? least + served / rate : 1;
      left = std::max(0.0, left - served);
    }
  }
  return shares;
}

}  // namespace basilhoist
