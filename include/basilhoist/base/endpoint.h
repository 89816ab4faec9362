// The address and port that a process listens on.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace basilhoist {

/// An IPv4 address in dotted decimal form and a port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

/// @return the endpoint as "address:port"
std::string Format(const endpoint& value);

/// Parses text of the form "IP:port".
/// @return the endpoint; one with an empty address and port 0 if the text has
///   another form or the address is not a valid IPv4 address
endpoint ParseEndpoint(std::string_view text);

/// @return the IPv4 address as a number in host byte order, or 0 if it is not
///   valid
std::uint32_t AddressNumber(const endpoint& value);

/// Makes an endpoint from a numeric address; the inverse of AddressNumber.
/// @param address the IPv4 address in host byte order
/// @param port the port
endpoint EndpointOf(std::uint32_t address, std::uint16_t port);

}  // namespace basilhoist
