// Decides on one request: admit it, or refuse it at once and say when its
// caller should return.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "basilhoist/admission/admission_reports.h"

namespace basilhoist {

/// A request as far as its admission depends on it.
struct arriving_request {
  bool fans_out = false;
  /// The caller has tried before.
  bool is_retry = false;
  microseconds objective{0};
  microseconds objective_left{0};
  microseconds deadline_left{0};
  /// Usual time of a server for a request of the route.
  microseconds reply_time{0};
  /// Least time until an answer; 0 if it is not known.
  microseconds shortest_reply{0};
  /// What servers can take of such requests.
  admitted_share servers;
  /// Time by which events of this instance are processed late.
  microseconds loop_delay{0};

  auto operator<=>(const arriving_request&) const = default;
};

/// What decided the admission of a request.
enum class admission_cause : std::uint8_t {
  kAdmitted,
  kDeadline,  ///< No answer is possible before the deadline.
  kServers,   ///< The servers cannot take all that arrives.
  kInstance,  ///< This instance is behind with its work.
};
constexpr std::size_t kAdmissionCauseCount = 4;

/// @return the name in log lines
std::string_view Name(admission_cause cause);

/// @param chance a random number from 0 to less than 1
admission_cause EvaluateArrival(const arriving_request& request, double chance);

/// Spreads the return of refused callers over the time in which an answer
/// still meets the objective, else the deadline.
/// @param chance a random number from 0 to less than 1
/// @return the delay after which the caller should retry
microseconds ReturnDelay(const arriving_request& request, double chance);

}  // namespace basilhoist
