// Percent-encoding of names that become part of a URL.
#pragma once

#include <string>
#include <string_view>

namespace basilhoist {

/// Encodes a path segment or the value of a query argument (RFC 3986).
/// @param bytes any bytes
/// @return the unreserved characters as they are, all other bytes as %XX
std::string EscapeForUrl(std::string_view bytes);

/// Replaces each "%" and its two hexadecimal digits by the byte that they name;
/// a "%" without two digits is kept.
std::string UnescapeUrl(std::string_view text);

}  // namespace basilhoist
