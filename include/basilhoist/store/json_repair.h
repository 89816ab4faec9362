// Makes JSON readable in which other programs have left unreadable values.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace basilhoist {

/// Nesting up to which JSON is parsed. Deeper values would exhaust the stack
/// when they are copied or written.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// @return the deepest nesting of arrays and objects in a JSON text
std::size_t JsonDepth(std::string_view text);

/// @return the text with unreadable values replaced: numbers out of range and
///   values nested deeper than kMaxJsonDepth by null, malformed strings by
///   empty ones
std::string RepairJson(std::string_view text);

}  // namespace basilhoist
