// A server on loopback that does with each connection what a test says.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>

#include "basilhoist/link/frame_link.h"

namespace basilhoist::test {

/// One accepted connection, used by the script with blocking calls.
class scripted_connection {
 public:
  scripted_connection(int fd, int number) : fd_(fd), number_(number) {}

  /// @return the number of the connection, from 0
  [[nodiscard]] int Number() const { return number_; }

  /// Reads up to the end of a request's headers.
  /// @return what was read; empty if the peer closed
  std::string ReadRequest() {
    std::string text;
    char byte = 0;
    while (recv(fd_, &byte, 1, 0) == 1) {
      text += byte;
      if (text.ends_with("\r\n\r\n")) return text;
    }
    return {};
  }

  void Send(const std::string& bytes) {
    static_cast<void>(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }

  /// Closes with a reset instead of an orderly end.
  void Reset() {
    const linger hard{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }

 private:
  int fd_;
  int number_;
};

/// Accepts connections one after the other.
class scripted_server {
 public:
  using script = std::function<void(scripted_connection&)>;

  explicit scripted_server(script play)
      : play_(std::move(play)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof where;
    bind(listener_, reinterpret_cast<sockaddr*>(&where), size);
    listen(listener_, 16);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&where), &size);
    address_ = {.address = "127.0.0.1", .port = ntohs(where.sin_port)};
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
      play_(connection);
      close(fd);
    }
  }

  script play_;
  int listener_;
  endpoint address_;
  std::thread thread_;
};

}  // namespace basilhoist::test
