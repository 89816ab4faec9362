// A server on the loopback address that runs a script of the test on each
// connection.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>

#include "basilhoist/link/frame_link.h"

namespace basilhoist::test {

/// One accepted connection. All calls block, so scripts run in the server's own
/// thread.
class scripted_connection {
 public:
  scripted_connection(int fd, int number) : fd_(fd), number_(number) {}

  /// @return the index of the connection in order of acceptance, from 0
  [[nodiscard]] int Number() const { return number_; }

  /// Reads up to the end of a request's headers.
  /// @return the request line and headers; empty if the peer closed first
  std::string ReadRequest() {
    std::string text;
    char byte = 0;
    while (recv(fd_, &byte, 1, 0) == 1) {
      text += byte;
      if (text.ends_with("\r\n\r\n")) return text;
    }
    return {};
  }

  /// Reads until the peer closes or resets the connection.
  /// @return the number of bytes read
  std::size_t ReadToEnd() {
    constexpr std::size_t kChunkBytes = 65536;
    std::string chunk(kChunkBytes, '\0');
    std::size_t total = 0;
    while (true) {
      const auto received = recv(fd_, chunk.data(), chunk.size(), 0);
      if (received <= 0) return total;
      total += static_cast<std::size_t>(received);
    }
  }

  /// @return whether the peer still takes bytes
  bool Send(const std::string& bytes) {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
  }

  /// Makes the close after the script send a TCP reset instead of an orderly
  /// end.
  void Reset() {
    const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof reset_on_close);
  }

 private:
  int fd_;
  int number_;
};

/// Accepts connections one after the other: the next one is accepted when the
/// script of the previous one has returned.
class scripted_server {
 public:
  using script = std::function<void(scripted_connection&)>;

  explicit scripted_server(script run_script)
      : script_(std::move(run_script)),
        listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
    listen(listener_, 16);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = {.address = "127.0.0.1", .port = ntohs(address.sin_port)};
    thread_ = std::thread([this] { Serve(); });
  }

  ~scripted_server() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  [[nodiscard]] const endpoint& Address() const { return address_; }

 private:
  void Serve() {
    for (int number = 0;; ++number) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0) return;
      scripted_connection connection(fd, number);
      script_(connection);
      close(fd);
    }
  }

  script script_;
  int listener_;
  endpoint address_;
  std::thread thread_;
};

}  // namespace basilhoist::test
