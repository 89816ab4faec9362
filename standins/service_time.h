// How long a backend server takes for a sub-request: a pure function, so that
// a load tool can work out what the best possible policies would reach.
#pragma once

#include <cstdint>
#include <string>

#include "basilhoist/base/clock.h"

namespace basilhoist::standin {

/// The mix of service times.
struct service_time_options {
  std::uint64_t seed = 1;
  microseconds typical = milliseconds(10);
  double slow_share = 0.02;  ///< Of sub-requests.
  double slow_factor = 10.0;
};

/// @param request_id the caller's, without the attempt
/// @return time on the server; from 0.6 to 1.4 of the typical, or slow
microseconds ServiceTime(const service_time_options& options,
                         const std::string& request_id,
                         const std::string& shard, const std::string& server);

/// @return the row that a right answer holds
std::string ExpectedRow(const std::string& shard, std::uint64_t version,
                        const std::string& body);

}  // namespace basilhoist::standin
