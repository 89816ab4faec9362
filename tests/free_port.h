// Finds a port of the loopback address that no process listens on.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace basilhoist::test {

/// Binds a socket to any port and closes it again, so another process may take
/// the port before the test uses it.
/// @return a port that was free at the time of the call
inline std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  static_cast<void>(bind(fd, reinterpret_cast<sockaddr*>(&address), size));
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

}  // namespace basilhoist::test
