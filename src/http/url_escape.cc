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

std::string UnescapeUrl(std::string_view text) {
  // Most paths need no change, and libcurl makes copies.
  if (text.find('%') == std::string_view::npos) return std::string(text);
  int size = 0;
  const std::unique_ptr<char, decltype(&curl_free)> plain(
      curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()),
                         &size),
      &curl_free);
  return plain ? std::string(plain.get(), static_cast<std::size_t>(size))
               : std::string();
}

}  // namespace basilhoist
