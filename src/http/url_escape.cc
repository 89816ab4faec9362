#include "basilhoist/http/url_escape.h"

#include <curl/curl.h>

#include <memory>

namespace basilhoist {

std::string EscapeForUrl(std::string_view bytes) {
  // libcurl takes a length of 0 for a string that ends with a NUL byte.
  if (bytes.empty()) return {};
  const std::unique_ptr<char, decltype(&curl_free)> escaped(
      curl_easy_escape(nullptr, bytes.data(), static_cast<int>(bytes.size())),
      &curl_free);
  return escaped ? std::string(escaped.get()) : std::string();
}

}  // namespace basilhoist
