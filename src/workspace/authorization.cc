#include "basilhoist/workspace/authorization.h"

namespace basilhoist {

const char* Name(authorization_verdict value) {
  switch (value) {
    case authorization_verdict::kAllowed:
      return "allowed";
    case authorization_verdict::kMissingKey:
      return "missing_key";
    case authorization_verdict::kUnknownKey:
      return "unknown_key";
  }
  return "";
}

authorization Authorize(const workspace_directory* workspaces, bool is_public,
                        const std::vector<std::string>& fields) {
  if (workspaces == nullptr) return {};
  const auto key = BearerKey(fields);
  if (!key) {
    return {.verdict = is_public ? authorization_verdict::kAllowed
                                 : authorization_verdict::kMissingKey};
  }
  authorization result{.sender = workspaces->FindByKey(*key),
                       .key_label = LogLabel(*key)};
  if (result.sender != nullptr) {
    result.digest = DigestOf(*key);
  } else if (!is_public) {
    result.verdict = authorization_verdict::kUnknownKey;
  }
  return result;
}

}  // namespace basilhoist
