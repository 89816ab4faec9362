// Errors that are reported to operators, carried by Boost.LEAF results.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilhoist {

namespace leaf = boost::leaf;

/// The kind of an error.
enum class error_code : std::uint8_t {
  kFileUnreadable,    ///< A file does not exist or cannot be read.
  kSyntax,            ///< A text is not valid JSON with comments.
  kSettings,          ///< Settings have missing or invalid values.
  kStoreRefused,      ///< The platform's store rejected a call.
  kStoreUnavailable,  ///< The platform's store cannot be reached.
  kConflict,          ///< A concurrent change was applied first.
  kOutcomeUnknown,    ///< A change may or may not have taken effect.
  kProtocol,          ///< A message violates the protocol.
};

/// @return a one-sentence description of the code, for operators
std::string_view Describe(error_code code);

/// One error in a settings file.
struct fault {
  std::string file;     ///< Path of the file.
  int line = 0;         ///< Line number, counted from 1; 0 if it is not known.
  std::string key;      ///< Path of the value, e.g. "service_groups/x/slots".
  std::string message;  ///< What is wrong and which values are valid.

  auto operator<=>(const fault&) const = default;
};

/// All errors found in one pass over the settings, not only the first.
struct fault_list {
  std::vector<fault> faults;
};

/// A human-readable explanation that accompanies an error code.
struct error_detail {
  std::string text;
};

/// @return the error as "file:line: key: message"
std::string Format(const fault& value);

}  // namespace basilhoist
