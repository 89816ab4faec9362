#include "basilhoist/admission/overload_estimate.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace basilhoist {
namespace {

// With half as many requests waiting as in progress, the loss of a shard is
// taken to come from load. Below, it comes from faults, which do not depend on
// the rate.
constexpr double kSaturated = 1.5;
constexpr double kMinFactor = 0.3;
constexpr double kMaxFactor = 1.4;
constexpr double kStep = 0.05;
// A refusal is worth half of an answer at best, and the estimate is rough, so
// refusing must promise this much more answers in time.
constexpr double kMinGain = 1.1;
constexpr double kMinGainOfAll = 0.05;
constexpr double kRounding = 1e-9;

// Requests that a server holds, in progress or waiting. Queues of servers are
// not known; with this length an arrival at full use is lost in 1 of 13 cases.
constexpr double kQueue = 25;
constexpr double kMaxArrivals = 8;

// Returns the share of the arrivals that a queue of limited length loses
// (M/M/1/K).
// @param arrivals rate of arrivals, as a multiple of the service rate
double LostShare(double arrivals) {
  constexpr double kNearOne = 1e-3;
  if (std::abs(arrivals - 1) < kNearOne) return 1 / (kQueue + 1);
  const double full = std::pow(arrivals, kQueue);
  return (1 - arrivals) * full / (1 - arrivals * full);
}

// Returns the arrivals at which a queue loses the given share.
double ArrivalsForLoss(double lost) {
  constexpr int kSteps = 16;
  double low = 0;
  double high = kMaxArrivals;
  for (int i = 0; i < kSteps; ++i) {
    const double middle = (low + high) / 2;
    (LostShare(middle) < lost ? low : high) = middle;
  }
  return (low + high) / 2;
}

// How the losses of a shard depend on the rate of requests.
struct shard_model {
  double arrivals = 0;  // at the present rate, as a multiple of the capacity
  double answered = 1;  // share of the requests that the queue does not lose
};

shard_model ModelOf(const shard_load& load) {
  if (load.utilization >= kSaturated) {
    return {.arrivals = ArrivalsForLoss(1 - load.answered)};
  }
  // Requests in flight include those that wait; for two slots (M/M/2) this is
  // the use of the slots.
  const double in_flight = std::max(load.utilization, kStep);
  return {.arrivals =
              (std::sqrt(1 + 4 * in_flight * in_flight) - 1) / (2 * in_flight),
          .answered = load.answered};
}

std::vector<shard_model> ModelsOf(const shard_set_load& load) {
  std::vector<shard_model> models;
  models.reserve(load.observed.size());
  for (const shard_load& each : load.observed) models.push_back(ModelOf(each));
  return models;
}

double ShareInTime(const shard_set_load& load,
                   const std::vector<shard_model>& models, double factor) {
  if (models.empty()) return 1;
  double missing = 0;
  double variance = 0;
  for (const shard_model& shard : models) {
    const double share =
        1 - shard.answered * (1 - LostShare(factor * shard.arrivals));
    missing += share;
    variance += share * (1 - share);
  }
  const auto count = static_cast<double>(load.shards);
  const double scale = count / static_cast<double>(models.size());
  if (load.shards == 1) return 1 - missing * scale;
  const double allowed =
      std::floor(count * (1 - load.min_coverage) + kRounding);
  // Normal approximation of the number of missing shards.
  constexpr double kContinuity = 0.5;
  const double deviation = std::sqrt(std::max(variance * scale, kContinuity));
  const double distance = (allowed + kContinuity - missing * scale) / deviation;
  return std::erfc(-distance / std::numbers::sqrt2) / 2;
}

}  // namespace

double ShareInTime(const shard_set_load& load, double factor) {
  return ShareInTime(load, ModelsOf(load), factor);
}

double BestRateFactor(const shard_set_load& load) {
  const std::vector<shard_model> models = ModelsOf(load);
  const double present = ShareInTime(load, models, 1);
  double best = 1;
  double most = present;
  const auto steps = std::lround((kMaxFactor - kMinFactor) / kStep);
  for (long i = 0; i <= steps; ++i) {
    const double factor = kMinFactor + kStep * static_cast<double>(i);
    const double in_time = factor * ShareInTime(load, models, factor);
    if (in_time <= most + kRounding) continue;
    best = factor;
    most = in_time;
  }
  const bool worthwhile =
      most >= kMinGain * present && most >= present + kMinGainOfAll;
  return worthwhile ? best : 1;
}

}  // namespace basilhoist
