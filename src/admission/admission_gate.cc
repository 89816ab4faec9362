#include "basilhoist/admission/admission_gate.h"

#include <algorithm>

namespace basilhoist {
namespace {

// An instance is behind if its events wait for this part of the objective.
constexpr int kBehindPart = 2;
// Time for the answer of a caller that returns, in usual reply times.
constexpr int kReturnReplyFactor = 2;
// Callers wait for at most this part of the time they have left.
constexpr int kHonouredPart = 3;
// Callers do not return before this part of the longest delay.
constexpr double kMinDelayPart = 0.25;

}  // namespace

std::string_view Name(admission_cause cause) {
  switch (cause) {
    case admission_cause::kAdmitted:
      return "admitted";
    case admission_cause::kDeadline:
      return "deadline";
    case admission_cause::kServers:
      return "servers";
    case admission_cause::kInstance:
      return "instance";
  }
  return "unknown";
}

admission_cause EvaluateArrival(const arriving_request& request,
                                double chance) {
  if (request.deadline_left < request.shortest_reply) {
    return admission_cause::kDeadline;
  }
  if (request.fans_out &&
      request.loop_delay > request.objective / kBehindPart) {
    return admission_cause::kInstance;
  }
  // A first attempt is worth more, since its answer can have its full value.
  const double share = request.servers.share;
  const double admitted = request.is_retry ? share * share : share;
  return chance < admitted ? admission_cause::kAdmitted
                           : admission_cause::kServers;
}

microseconds ReturnDelay(const arriving_request& request, double chance) {
  const microseconds reply_time = kReturnReplyFactor * request.reply_time;
  microseconds longest = request.objective_left - reply_time;
  if (longest <= microseconds(0)) {
    longest = std::max(request.deadline_left - reply_time, microseconds(0));
  }
  longest = std::min(longest, request.deadline_left / kHonouredPart);
  const double part = kMinDelayPart + (1 - kMinDelayPart) * chance;
  return std::max<microseconds>(
      milliseconds(1), microseconds(static_cast<std::int64_t>(
                           part * static_cast<double>(longest.count()))));
}

}  // namespace basilhoist
