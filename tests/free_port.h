// A port of the loopback address that nobody listens on now.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace basilhoist::test {

inline std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof where;
  static_cast<void>(bind(fd, reinterpret_cast<sockaddr*>(&where), size));
  getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
  close(fd);
  return ntohs(where.sin_port);
}

}  // namespace basilhoist::test
