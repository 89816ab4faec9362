// Percent-encoding of names that become part of a URL.
#pragma once

#include <string>
#include <string_view>

namespace basilhoist {

/// Encodes a path segment or the value of a query argument (RFC 3986).
/// @param bytes any bytes
/// @return the unreserved characters as they are, all other bytes as %XX
std::string EscapeForUrl(std::string_view bytes);

}  // namespace basilhoist
