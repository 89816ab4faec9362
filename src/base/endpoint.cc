#include "basilhoist/base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace basilhoist {

std::string Format(const endpoint& value) {
  return value.address + ":" + std::to_string(value.port);
}

endpoint ParseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  endpoint result{std::string(text.substr(0, colon)), 0};
  const std::string_view digits = text.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, result.port);
  in_addr ignored{};
  const bool valid =
      inet_pton(AF_INET, result.address.c_str(), &ignored) == 1 &&
      parsed.ec == std::errc() && parsed.ptr == end;
  return valid ? result : endpoint{};
}

std::uint32_t AddressNumber(const endpoint& value) {
  in_addr address{};
  if (inet_pton(AF_INET, value.address.c_str(), &address) != 1) return 0;
  return ntohl(address.s_addr);
}

endpoint EndpointOf(std::uint32_t address, std::uint16_t port) {
  const in_addr number{.s_addr = htonl(address)};
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &number, text, sizeof text);
  return {.address = text, .port = port};
}

}  // namespace basilhoist
