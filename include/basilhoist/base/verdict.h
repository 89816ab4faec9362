// Whether a request may have run on a backend server, and why it ended without
// a full answer.
#pragma once

#include <cstdint>
#include <string_view>

namespace basilhoist {

/// Says whether a request may have run on a backend server.
enum class verdict : std::uint8_t {
  kDone,        ///< The request ran, and its answer is known.
  kNotRun,      ///< No backend server has run the request or will run it.
  kMayHaveRun,  ///< The request may have run; its answer is not known.
};

/// Why a request or sub-request ended without a full answer.
enum class reason : std::uint8_t {
  kNone,              ///< The request was answered in full.
  kOverLimit,         ///< A limit was reached; the caller may retry later.
  kWarmingUp,         ///< The backend server is in a cold start.
  kDraining,          ///< The backend server or its domain is draining.
  kNoOwner,           ///< No instance currently owns the backend server.
  kDeadlinePassed,    ///< The request could not finish by its deadline.
  kVersionGone,       ///< The pinned index version is no longer served.
  kServerFailed,      ///< The backend server or its connection failed.
  kLinkFailed,        ///< The connection between two instances failed.
  kCancelled,         ///< The entry no longer needs the answer.
  kStoreUnavailable,  ///< The platform's store could not be reached.
  kBadRequest,        ///< The request is not valid.
  kNotReady,          ///< The instance is starting or shutting down.
  kRepeated,          ///< The same request was already accepted before.
};

/// Combines the verdicts of two hops or attempts. If either of them may have
/// run the request and neither is done, the result is kMayHaveRun.
/// @param first the verdict of one hop or attempt
/// @param second the verdict of another
/// @return kDone if either is kDone, else kMayHaveRun if either is kMayHaveRun,
///   else kNotRun
verdict Combine(verdict first, verdict second);

/// @return the verdict's name on the wire, e.g. "not_run"
std::string_view Name(verdict value);

/// @return the reason's name on the wire, e.g. "over_limit"
std::string_view Name(reason value);

/// @return a one-sentence description of the reason, for operators and callers
std::string_view Describe(reason value);

}  // namespace basilhoist
