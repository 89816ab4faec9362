#include "http_server_exchange.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <utility>

namespace basilhoist {
namespace {

constexpr int kGatewayError = 502;
// While bytes of a next request wait, a caller that closes makes no event.
constexpr milliseconds kPeekPeriod{200};

void QueueReply(MHD_Connection* connection, const http_reply& reply) {
  MHD_Response* response = MHD_create_response_from_buffer(
      reply.body.size(), const_cast<char*>(reply.body.data()),
      MHD_RESPMEM_MUST_COPY);
  if (!reply.content_type.empty()) {
    MHD_add_response_header(response, "Content-Type",
                            reply.content_type.c_str());
  }
  for (const auto& header : reply.headers) {
    MHD_add_response_header(response, header.name.c_str(),
                            header.value.c_str());
  }
  MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
  MHD_destroy_response(response);
}

}  // namespace

http_server::state::exchange::exchange(state& server,
                                       MHD_Connection* connection,
                                       std::string target)
    : server_(server),
      connection_(connection),
      target_(std::move(target)),
      body_due_(Now() + server.options.body_timeout),
      caller_watch_(server.loop, [this](bool, bool) { PeekAtCaller(); }) {
  auto& from = state::connection::Of(connection);
  first_ = !from.used;
  from.used = true;
}

std::vector<http_header> http_server::state::exchange::Headers() const {
  std::vector<http_header> headers;
  if (connection_ == nullptr) return headers;
  const auto add = [](void* into, MHD_ValueKind, const char* name,
                      const char* value) {
    static_cast<std::vector<http_header>*>(into)->push_back(
        {.name = name, .value = value == nullptr ? "" : value});
    return MHD_YES;
  };
  MHD_get_connection_values(connection_, MHD_HEADER_KIND, add, &headers);
  return headers;
}

std::string http_server::state::exchange::PeerAddress() const {
  if (connection_ == nullptr) return {};
  const auto* info =
      MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  char text[INET_ADDRSTRLEN] = {};
  const auto* peer = reinterpret_cast<const sockaddr_in*>(info->client_addr);
  inet_ntop(AF_INET, &peer->sin_addr, text, sizeof text);
  return text;
}

void http_server::state::exchange::Reply(http_reply reply) {
  if (replied_ || connection_ == nullptr) return;
  replied_ = true;
  gone_ = nullptr;
  reply_ = std::move(reply);
  if (!suspended_) return;
  Resume();
  server_.PostRun();
}

void http_server::state::exchange::Resume() {
  suspended_ = false;
  caller_watch_.Set(-1, false, false);
  server_.loop.Cancel(next_peek_);
  server_.suspended.erase(this);
  MHD_resume_connection(connection_);
}

MHD_Result http_server::state::exchange::Continue(
    const std::shared_ptr<exchange>& self, const char* data, size_t* size) {
  if (*size != 0) {
    if (Now() > body_due_) return MHD_NO;
    if (body_.size() + *size > server_.options.max_body_bytes) {
      oversize_ = true;
    } else {
      body_.append(data, *size);
    }
    *size = 0;
    return MHD_YES;
  }
  if (!handled_) Handle(self);
  if (replied_) {
    QueueNow();
    return MHD_YES;
  }
  suspended_ = true;
  server_.suspended.insert(this);
  MHD_suspend_connection(connection_);
  WatchCaller();
  return MHD_YES;
}

bool http_server::state::exchange::RefuseEarly() {
  const std::string length = Header("Content-Length");
  const auto limit = server_.options.max_body_bytes;
  if (!length.empty() && std::strtoull(length.c_str(), nullptr, 10) > limit) {
    Refuse(413, "The body is larger than this server takes.");
  } else if (server_.connections.size() > server_.options.max_connections) {
    Refuse(503, "Too many connections are open.");
  }
  return replied_;
}

void http_server::state::exchange::QueueNow() {
  if (server_.close_after_replies) {
    reply_.headers.push_back({.name = "Connection", .value = "close"});
  }
  QueueReply(connection_, reply_);
}

void http_server::state::exchange::Detach() {
  connection_ = nullptr;
  caller_watch_.Set(-1, false, false);
  server_.loop.Cancel(next_peek_);
  TellGone();
}

int http_server::state::exchange::Socket() const {
  return MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

// The library does not read from a suspended connection, so a caller that
// closes is noticed here.
void http_server::state::exchange::WatchCaller() {
  caller_watch_.Set(Socket(), true, false);
}

void http_server::state::exchange::PeekAtCaller() {
  char byte = 0;
  const auto got = recv(Socket(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (got <= 0 || CallerClosed()) {
    GiveUpCaller();
    return;
  }
  // Bytes of a next request would keep the socket readable.
  caller_watch_.Set(-1, false, false);
  next_peek_ = server_.loop.After(kPeekPeriod, [this] { PeekAtCaller(); });
}

bool http_server::state::exchange::CallerClosed() const {
  pollfd caller{.fd = Socket(), .events = POLLRDHUP};
  return poll(&caller, 1, 0) == 1 &&
         (caller.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void http_server::state::exchange::GiveUpCaller() {
  caller_watch_.Set(-1, false, false);
  TellGone();
  // Resumes the connection, so that the library finds it closed.
  Reply({.status = kGatewayError, .content_type = {}});
}

void http_server::state::exchange::TellGone() {
  if (!gone_) return;
  const auto gone = std::move(gone_);
  gone_ = nullptr;
  gone();
}

std::string http_server::state::exchange::Lookup(MHD_ValueKind kind,
                                                 const char* name) const {
  if (connection_ == nullptr) return {};
  const char* value = MHD_lookup_connection_value(connection_, kind, name);
  return value == nullptr ? std::string() : std::string(value);
}

void http_server::state::exchange::Refuse(int status, std::string_view text) {
  if (server_.options.refuse) {
    Reply(server_.options.refuse(status, text));
  } else {
    Reply({.status = status, .body = std::string(text)});
  }
}

void http_server::state::exchange::Handle(
    const std::shared_ptr<exchange>& self) {
  handled_ = true;
  if (oversize_) {
    Refuse(413, "The body is larger than this server takes.");
    return;
  }
  server_.handler(self);
}

}  // namespace basilhoist
