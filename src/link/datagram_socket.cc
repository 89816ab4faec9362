#include "basilhoist/link/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace basilhoist {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;

sockaddr_in ToAddress(const endpoint& value) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(value.port);
  inet_pton(AF_INET, value.address.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

datagram_socket::datagram_socket(
    event_loop& loop, const endpoint& where,
    std::function<void(std::string_view)> on_datagram)
    : on_datagram_(std::move(on_datagram)), watch_(loop, [this](bool, bool) {
        char bytes[kMaxDatagramBytes];
        while (true) {
          const auto got = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
          if (got < 0) return;
          on_datagram_({bytes, static_cast<std::size_t>(got)});
        }
      }) {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) return;
  const sockaddr_in local = ToAddress(where);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0) {
    close(fd_);
    fd_ = -1;
    return;
  }
  watch_.Set(fd_, true, false);
}

datagram_socket::~datagram_socket() {
  watch_.Set(-1, false, false);
  if (fd_ >= 0) close(fd_);
}

void datagram_socket::Send(const endpoint& to, std::string_view bytes) {
  const sockaddr_in remote = ToAddress(to);
  sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&remote), sizeof remote);
}

}  // namespace basilhoist
