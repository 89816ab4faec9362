#include "basilhoist/backend/backend_reply.h"

#include <algorithm>
#include <cctype>

namespace basilhoist {

std::string_view Name(exchange_error value) {
  switch (value) {
    case exchange_error::kNone:
      return "none";
    case exchange_error::kNotConnected:
      return "not_connected";
    case exchange_error::kRefused:
      return "refused";
    case exchange_error::kBroken:
      return "broken";
    case exchange_error::kGarbled:
      return "garbled";
  }
  return "unknown";
}

bool SameHeader(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

const std::string* backend_reply::Header(std::string_view name) const {
  for (const http_header& header : headers) {
    if (SameHeader(header.name, name)) return &header.value;
  }
  return nullptr;
}

}  // namespace basilhoist
