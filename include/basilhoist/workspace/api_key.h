// Digests of API keys and the credentials of a request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilhoist {

/// A keyed 128-bit hash of an API key. The hash key differs in each process, so
/// that nobody can search for keys with equal digests.
struct api_key_digest {
  std::uint64_t low = 0;
  std::uint64_t high = 0;

  auto operator<=>(const api_key_digest&) const = default;
};

/// @return the digest of an API key, valid within this process
api_key_digest DigestOf(std::string_view api_key);

/// Compares two keys in a time that does not depend on where they differ.
bool SameKey(std::string_view left, std::string_view right);

/// @return a short hash of an API key for logs, the same on all instances
std::string LogLabel(std::string_view api_key);

/// Extracts the API key of a request.
/// @param fields values of all Authorization header fields
/// @return the key of the Bearer scheme; nothing if there is none, or more than
///   one field
std::optional<std::string> BearerKey(const std::vector<std::string>& fields);

}  // namespace basilhoist
