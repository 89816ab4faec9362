#include "http_server_exchange.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <string_view>
#include <utility>

#include "basilhoist/http/url_escape.h"

namespace basilhoist {
namespace {

std::string_view QueryOf(std::string_view target) {
  const auto at = target.find('?');
  return at == std::string_view::npos ? std::string_view()
                                      : target.substr(at + 1);
}

// In a query, a plus sign stands for a space.
std::string DecodeArgument(std::string_view text) {
  std::string with_spaces(text);
  for (char& character : with_spaces) {
    if (character == '+') character = ' ';
  }
  return UnescapeUrl(with_spaces);
}

}  // namespace

http_server::state::exchange::exchange(connection& from,
                                       received_request request, bool first,
                                       const memory_budget_ptr& memory,
                                       std::size_t bytes)
    : connection_(&from),
      request_(std::move(request)),
      path_(UnescapeUrl(std::string_view(request_.target)
                            .substr(0, request_.target.find('?')))),
      // Counted until nobody uses the body any more, which may be later than
      // the reply: sends to further servers are left to complete.
      body_(CountedText(std::move(request_.body), memory, bytes)),
      first_on_connection_(first) {}

std::string http_server::state::exchange::Argument(const char* name) const {
  std::string_view rest = QueryOf(request_.target);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (DecodeArgument(pair.substr(0, equals)) == name) {
      return equals == std::string_view::npos
                 ? std::string()
                 : DecodeArgument(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    rest.remove_prefix(end + 1);
  }
  return {};
}

std::string http_server::state::exchange::PeerAddress() const {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  const bool known =
      connection_ != nullptr &&
      getpeername(connection_->Socket(), reinterpret_cast<sockaddr*>(&peer),
                  &size) == 0;
  if (!known) return {};
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
  return text.data();
}

void http_server::state::exchange::Reply(http_reply reply) {
  if (connection_ == nullptr) return;
  connection& replying = *connection_;
  connection_ = nullptr;
  on_caller_closed_ = nullptr;
  replying.OnReply(std::move(reply));
}

void http_server::state::exchange::Detach() {
  connection_ = nullptr;
  NotifyCallerClosed();
}

void http_server::state::exchange::NotifyCallerClosed() {
  if (!on_caller_closed_) return;
  const auto callback = std::move(on_caller_closed_);
  on_caller_closed_ = nullptr;
  callback();
}

}  // namespace basilhoist
