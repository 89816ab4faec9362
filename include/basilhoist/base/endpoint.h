// Where a process listens.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace basilhoist {

/// An IP number and port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// @return "address:port"
std::string Format(const endpoint& value);

/// @return the endpoint, or port 0 if the text is not "IP:port"
endpoint ParseEndpoint(std::string_view text);

/// @return the address as a number in the host's byte order, or 0 if it is not
///   an IP number
std::uint32_t AddressNumber(const endpoint& value);

/// @param address as AddressNumber returns it
endpoint EndpointOf(std::uint32_t address, std::uint16_t port);

}  // namespace basilhoist
