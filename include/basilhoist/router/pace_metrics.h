// Metrics of the pace of backend servers.
#pragma once

#include <prometheus/metric_family.h>

#include <vector>

#include "basilhoist/pace/pace_controller.h"

namespace basilhoist {

/// @return the number of paced servers, and counters of what began, cut and
///   ended their pace
std::vector<prometheus::MetricFamily> PaceMetrics(const pace_controller& pace);

}  // namespace basilhoist
