// Errors that operators see, carried by Boost.LEAF results.
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

/// What kind of thing went wrong.
enum class error_code : std::uint8_t {
  kFileUnreadable,
  kSyntax,
  kSettings,
  kStoreRefused,
  kStoreUnavailable,
  kOutrun,
  kNotKnown,
  kProtocol,
};

/// @return one short sentence for the code
std::string_view Describe(error_code code);

/// One thing that is wrong in the settings, and what would be right.
struct fault {
  std::string file;
  int line = 0;
  std::string key;      ///< Path of the value, e.g. "service_groups/x/slots".
  std::string message;  ///< What is wrong and what would be right.

  auto operator<=>(const fault&) const = default;
};

/// All faults found in one reading; never only the first.
struct fault_list {
  std::vector<fault> faults;
};

/// A sentence that goes with an error.
struct error_detail {
  std::string text;
};

/// @return "file:line: key: message"
std::string Format(const fault& value);

}  // namespace basilhoist
