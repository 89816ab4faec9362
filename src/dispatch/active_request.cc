#include "basilhoist/dispatch/active_request.h"

#include <array>
#include <cstdio>

namespace basilhoist {
namespace {

constexpr int kUnavailable = 503;

}  // namespace

http_reply NotRunReply(const header_names& names, microseconds retry_after,
                       std::string_view why) {
  std::array<char, 32> seconds{};
  std::snprintf(seconds.data(), seconds.size(), "%.3f",
                ToMilliseconds(retry_after) / 1000);
  return {.status = kUnavailable,
          .content_type = "text/plain",
          .body = std::string(why) + "\n",
          .headers = {{.name = names.retry_after, .value = seconds.data()}}};
}

http_reply FailureReply(int status, std::string_view why) {
  return {.status = status,
          .content_type = "text/plain",
          .body = std::string(why) + "\n"};
}

}  // namespace basilhoist
