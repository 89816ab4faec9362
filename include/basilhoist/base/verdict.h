// What is known about whether a request ran, and why it ended as it did.
#pragma once

#include <cstdint>
#include <string_view>

namespace basilhoist {

/// Says whether a request may have run on a backend server.
enum class verdict : std::uint8_t {
  kDone,        ///< It ran, and its answer is known.
  kNotRun,      ///< No backend server has run it or will run it.
  kMayHaveRun,  ///< It may have run; its answer is not known.
};

/// Why a request or sub-request ended without a full answer.
enum class reason : std::uint8_t {
  kNone,
  kOverLimit,         ///< A limit was reached; come back later.
  kWarmingUp,         ///< The backend server is in a cold start.
  kDraining,          ///< The backend server or its failure domain is leaving.
  kNoOwner,           ///< No instance holds the backend server just now.
  kDeadlinePassed,    ///< It could not finish before its deadline.
  kVersionGone,       ///< The pinned index version is no longer served.
  kServerFailed,      ///< The backend server failed or the link to it broke.
  kLinkFailed,        ///< The link between two instances broke.
  kCancelled,         ///< The entry no longer needs the answer.
  kStoreUnavailable,  ///< The platform's store could not be reached.
  kBadRequest,        ///< The request itself is not valid.
  kNotReady,          ///< This instance does not serve yet, or is leaving.
  kRepeated,          ///< An earlier arrival holds the claim on this request.
};

/// Combines what two hops know: doubt is only ever added, never removed.
/// @param first the verdict of one hop or attempt
/// @param second the verdict of another
/// @return kDone if either is done, else kMayHaveRun if either may have run
verdict Combine(verdict first, verdict second);

/// @return the verdict's name on the wire, e.g. "not_run"
std::string_view Name(verdict value);

/// @return the reason's name on the wire, e.g. "over_limit"
std::string_view Name(reason value);

/// @return one short sentence for a person
std::string_view Describe(reason value);

}  // namespace basilhoist
