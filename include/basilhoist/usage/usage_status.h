// Shows operators how the usage limits are held.
#pragma once

#include <prometheus/metric_family.h>

#include <nlohmann/json.hpp>
#include <vector>

#include "basilhoist/usage/usage_exchange.h"

namespace basilhoist {

/// @return counters for /metrics
std::vector<prometheus::MetricFamily> UsageMetrics(const usage_exchange& usage);

/// @return the busiest workspaces of this instance, for /dump
nlohmann::ordered_json UsageDump(const usage_exchange& usage);

}  // namespace basilhoist
