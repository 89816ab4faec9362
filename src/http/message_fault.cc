#include "basilhoist/http/message_fault.h"

#include <array>

namespace basilhoist {

std::string_view Name(message_fault value) {
  constexpr std::array<std::string_view, 11> kNames = {
      "none",
      "malformed",
      "unsupported_version",
      "unsupported_encoding",
      "invalid_status",
      "head_too_large",
      "body_too_large",
      "chunk_head_too_large",
      "too_many_interim_replies",
      "other_request",
      "no_memory"};
  return kNames.at(static_cast<std::size_t>(value));
}

}  // namespace basilhoist
