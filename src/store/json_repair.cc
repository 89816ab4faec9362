#include "basilhoist/store/json_repair.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace basilhoist {
namespace {

constexpr std::string_view kNumberCharacters = "+-.0123456789eE";

// Returns the end of the string that begins at `begin`.
std::size_t EndOfString(std::string_view text, std::size_t begin) {
  for (std::size_t at = begin + 1; at < text.size(); ++at) {
    if (text[at] == '\\') {
      ++at;
    } else if (text[at] == '"') {
      return at + 1;
    }
  }
  return text.size();
}

bool IsOpening(char c) { return c == '{' || c == '['; }
bool IsClosing(char c) { return c == '}' || c == ']'; }

// Returns the end of the token at `begin`: a string, a number or one character.
std::size_t EndOfToken(std::string_view text, std::size_t begin) {
  const char first = text[begin];
  if (first == '"') return EndOfString(text, begin);
  if (first != '-' && (first < '0' || first > '9')) return begin + 1;
  return std::min(text.size(),
                  text.find_first_not_of(kNumberCharacters, begin));
}

std::string_view RepairToken(std::string_view token) {
  if (token.size() == 1 || nlohmann::json::accept(token)) return token;
  return token.front() == '"' ? "\"\"" : "null";
}

}  // namespace

std::size_t JsonDepth(std::string_view text) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  for (std::size_t at = 0; at < text.size();) {
    const char c = text[at];
    if (IsOpening(c)) deepest = std::max(deepest, ++depth);
    if (IsClosing(c) && depth > 0) --depth;
    at = c == '"' ? EndOfString(text, at) : at + 1;
  }
  return deepest;
}

std::string RepairJson(std::string_view text) {
  std::string repaired;
  repaired.reserve(text.size());
  std::size_t depth = 0;
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t end = EndOfToken(text, at);
    const char c = text[at];
    if (IsOpening(c) && ++depth == kMaxJsonDepth + 1) repaired += "null";
    if (depth <= kMaxJsonDepth) {
      repaired += RepairToken(text.substr(at, end - at));
    }
    if (IsClosing(c) && depth > 0) --depth;
    at = end;
  }
  return repaired;
}

}  // namespace basilhoist
