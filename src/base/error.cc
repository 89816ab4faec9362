#include "basilhoist/base/error.h"

#include <array>
#include <cstddef>

namespace basilhoist {
namespace {

// Indexed by error_code; must be in the order of its enumerators.
constexpr std::array<std::string_view, 8> kDescriptions{
    "The file cannot be read.",
    "The text is not valid JSON with comments.",
    "The settings have faults.",
    "The platform's store refused the call.",
    "The platform's store cannot be reached.",
    "Another change came first.",
    "It is not known yet whether the change took effect.",
    "A message did not follow the protocol.",
};

}  // namespace

std::string_view Describe(error_code code) {
  return kDescriptions.at(static_cast<std::size_t>(code));
}

std::string Format(const fault& value) {
  return value.file + ":" + std::to_string(value.line) + ": " + value.key +
         ": " + value.message;
}

}  // namespace basilhoist
