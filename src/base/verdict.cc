#include "basilhoist/base/verdict.h"

#include <array>
#include <cstddef>

namespace basilhoist {
namespace {

struct reason_text {
  std::string_view name;
  std::string_view description;
};

// Indexed by reason; must be in the order of its enumerators.
constexpr std::array<reason_text, 14> kReasonTexts{{
    {"none", "It went well."},
    {"over_limit", "A limit was reached; come back later."},
    {"warming_up", "The backend server is in a cold start."},
    {"draining", "The backend server or its failure domain is leaving."},
    {"no_owner", "No instance holds the backend server just now."},
    {"deadline_passed", "It could not finish before its deadline."},
    {"version_gone", "The pinned index version is no longer served."},
    {"server_failed", "The backend server failed or its connection broke."},
    {"link_failed", "The link between two instances broke."},
    {"cancelled", "The answer was no longer needed."},
    {"store_unavailable", "The platform's store could not be reached."},
    {"bad_request", "The request is not valid."},
    {"not_ready", "This instance does not serve yet, or is leaving."},
    {"repeated", "An earlier arrival holds the claim on this request."},
}};

// Indexed by verdict; must be in the order of its enumerators.
constexpr std::array<std::string_view, 3> kVerdictNames{"done", "not_run",
                                                        "may_have_run"};

}  // namespace

verdict Combine(verdict first, verdict second) {
  if (first == verdict::kDone || second == verdict::kDone) {
    return verdict::kDone;
  }
  const bool may_have_run =
      first == verdict::kMayHaveRun || second == verdict::kMayHaveRun;
  return may_have_run ? verdict::kMayHaveRun : verdict::kNotRun;
}

std::string_view Name(verdict value) {
  return kVerdictNames.at(static_cast<std::size_t>(value));
}

std::string_view Name(reason value) {
  return kReasonTexts.at(static_cast<std::size_t>(value)).name;
}

std::string_view Describe(reason value) {
  return kReasonTexts.at(static_cast<std::size_t>(value)).description;
}

}  // namespace basilhoist
