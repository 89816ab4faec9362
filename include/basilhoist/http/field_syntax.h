// Checks of the syntax of HTTP request lines and header fields (RFC 9110,
// section 5).
#pragma once

#include <string_view>

namespace basilhoist {

/// @return whether the text is a valid token: a method or a header field name
bool IsToken(std::string_view text);

/// @return whether the text is a valid header field value: it has no control
/// characters except tab
bool IsFieldValue(std::string_view text);

/// @return whether the text may be a request target: it is not empty and has
/// neither control characters nor spaces
bool IsTarget(std::string_view text);

}  // namespace basilhoist
