// What HTTP allows in the parts of a request's head (RFC 9110, section 5).
#pragma once

#include <string_view>

namespace basilhoist {

/// @return whether a text may be a method or a header's name
bool IsToken(std::string_view text);

/// @return whether a text may be a header's value
bool IsFieldValue(std::string_view text);

/// @return whether a text may be a request's target
bool IsTarget(std::string_view text);

}  // namespace basilhoist
