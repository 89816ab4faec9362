#include "basilhoist/workspace/api_key.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <iomanip>
#include <random>
#include <sstream>

namespace basilhoist {
namespace {

constexpr std::string_view kScheme = "bearer";

using hash_secret = std::array<std::uint32_t, XXH3_SECRET_SIZE_MIN / 4>;

hash_secret RandomSecret() {
  std::random_device random;
  hash_secret secret{};
  std::generate(secret.begin(), secret.end(), std::ref(random));
  return secret;
}

std::string_view Trimmed(std::string_view text) {
  while (text.starts_with(' ')) text.remove_prefix(1);
  while (text.ends_with(' ')) text.remove_suffix(1);
  return text;
}

bool HasScheme(std::string_view credentials) {
  return credentials.size() > kScheme.size() &&
         credentials[kScheme.size()] == ' ' &&
         std::equal(kScheme.begin(), kScheme.end(), credentials.begin(),
                    [](char expected, char actual) {
                      return expected ==
                             std::tolower(static_cast<unsigned char>(actual));
                    });
}

}  // namespace

api_key_digest DigestOf(std::string_view api_key) {
  static const hash_secret secret = RandomSecret();
  const XXH128_hash_t hash = XXH3_128bits_withSecret(
      api_key.data(), api_key.size(), secret.data(), sizeof secret);
  return {.low = hash.low64, .high = hash.high64};
}

bool SameKey(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^
                  static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

// 32 bits identify a key among the keys of an installation, but are too few to
// find it.
std::string LogLabel(std::string_view api_key) {
  constexpr int kHexDigits = 8;
  const auto hash =
      static_cast<std::uint32_t>(XXH64(api_key.data(), api_key.size(), 0));
  std::ostringstream text;
  text << std::hex << std::setw(kHexDigits) << std::setfill('0') << hash;
  return text.str();
}

std::optional<std::string> BearerKey(const std::vector<std::string>& fields) {
  if (fields.size() != 1) return std::nullopt;
  const std::string_view credentials = Trimmed(fields.front());
  if (!HasScheme(credentials)) return std::nullopt;
  const std::string_view key = Trimmed(credentials.substr(kScheme.size()));
  if (key.empty()) return std::nullopt;
  return std::string(key);
}

}  // namespace basilhoist
