// Datagrams between instances: small, unordered, sometimes lost.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "basilhoist/link/frame_link.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// A bound UDP socket.
class datagram_socket {
 public:
  /// @param on_datagram called for each datagram that arrives
  datagram_socket(event_loop& loop, const endpoint& where,
                  std::function<void(std::string_view)> on_datagram);
  ~datagram_socket();
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  [[nodiscard]] bool Bound() const { return fd_ >= 0; }

  /// Sends a datagram; one that does not fit the socket's buffer is lost.
  void Send(const endpoint& to, std::string_view bytes);

 private:
  int fd_ = -1;
  std::function<void(std::string_view)> on_datagram_;
  fd_watch watch_;
};

}  // namespace basilhoist
