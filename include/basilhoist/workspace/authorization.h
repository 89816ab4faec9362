// Decides whether a request may be handled, by its API key.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "basilhoist/workspace/workspace_directory.h"

namespace basilhoist {

/// Result of the check of a request's API key.
enum class authorization_verdict : std::uint8_t {
  kAllowed,
  kMissingKey,  ///< It has no key, or more than one.
  kUnknownKey,  ///< No workspace holds its key.
};

/// Returns the short name used in logs.
const char* Name(authorization_verdict value);

/// Verdict on a request, and the workspace that sent it.
struct authorization {
  authorization_verdict verdict = authorization_verdict::kAllowed;
  /// Null if no known key came with the request.
  const workspace* sender = nullptr;
  api_key_digest digest;  ///< Of the sender's key.
  std::string key_label;  ///< For the log, if a key came with the request.
};

/// @param workspaces null if the configuration has none; all requests are
///   allowed then
/// @param is_public whether the route serves requests without a key
/// @param fields values of all Authorization header fields of the request
authorization Authorize(const workspace_directory* workspaces, bool is_public,
                        const std::vector<std::string>& fields);

}  // namespace basilhoist
