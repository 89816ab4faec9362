#include "basilhoist/http/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "http_server_exchange.h"

namespace basilhoist {
namespace {

constexpr int kListenBacklog = 1024;
// How often overdue connections are looked for: late by so much at most.
constexpr milliseconds kOverduePeriod{1000};
// Connections over the limit are still accepted up to this factor, so that
// each can be told why it is refused; past it the kernel holds them back.
constexpr unsigned kHardLimitFactor = 2;

int BindSocket(const std::string& address, std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(port);
  const bool valid = inet_pton(AF_INET, address.c_str(), &where.sin_addr) == 1;
  if (!valid || bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof where) ||
      listen(fd, kListenBacklog)) {
    close(fd);
    return -1;
  }
  return fd;
}

// The library counts whole seconds; a caller is never cut off early.
unsigned Seconds(milliseconds span) {
  constexpr int kMsPerSecond = 1000;
  return static_cast<unsigned>((span.count() + kMsPerSecond - 1) /
                               kMsPerSecond) +
         1;
}

}  // namespace

// The library's timeout starts anew with each byte, so that a caller which
// sends its headers slowly would never be closed.
void http_server::state::CloseOverdue() {
  const auto limit = options.timeouts.idle + options.timeouts.header;
  const instant now = Now();
  for (const connection* each : connections) {
    if (!each->waiting_since || now - *each->waiting_since <= limit) continue;
    shutdown(each->fd, SHUT_RDWR);
  }
  next_overdue = loop.After(kOverduePeriod, [this] { CloseOverdue(); });
}

// Runs first, with the request line as it came; the others get it decoded.
void* http_server::state::OnTarget(void* self, const char* target,
                                   MHD_Connection* from) {
  auto& server = *static_cast<state*>(self);
  return new exchange_ptr(std::make_shared<exchange>(server, from, target));
}

MHD_Result http_server::state::OnAccess(void* self, MHD_Connection* from,
                                        const char* url, const char* method,
                                        const char*, const char* upload,
                                        size_t* upload_size, void** slot) {
  const auto& server = *static_cast<state*>(self);
  const exchange_ptr current = *static_cast<exchange_ptr*>(*slot);
  if (!current->HasRequestLine()) {
    current->SetRequestLine(method, url);
    connection::Of(from).waiting_since.reset();
    MHD_set_connection_option(from, MHD_CONNECTION_OPTION_TIMEOUT,
                              Seconds(server.options.timeouts.idle));
    if (current->RefuseEarly()) current->QueueNow();
    return MHD_YES;
  }
  return current->Continue(current, upload, upload_size);
}

void http_server::state::OnCompleted(void*, MHD_Connection* from, void** slot,
                                     MHD_RequestTerminationCode) {
  connection::Of(from).waiting_since = Now();
  auto* held = static_cast<exchange_ptr*>(*slot);
  if (held == nullptr) return;
  (*held)->Detach();
  delete held;
  *slot = nullptr;
}

void http_server::state::OnConnection(void* self, MHD_Connection* from,
                                      void** kept,
                                      MHD_ConnectionNotificationCode code) {
  auto& server = *static_cast<state*>(self);
  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    auto* closed = static_cast<connection*>(*kept);
    server.connections.erase(closed);
    delete closed;
    *kept = nullptr;
    return;
  }
  const auto* info =
      MHD_get_connection_info(from, MHD_CONNECTION_INFO_CONNECTION_FD);
  auto* opened = new connection{.fd = info->connect_fd, .waiting_since = Now()};
  *kept = opened;
  server.connections.insert(opened);
  const int on = 1;
  setsockopt(opened->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

http_server::http_server(event_loop& loop, http_server_options options,
                         http_handler handler)
    : state_(std::make_unique<state>(loop, std::move(options),
                                     std::move(handler))) {
  const int fd = BindSocket(state_->options.address, state_->options.port);
  if (fd < 0) return;
  const unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  state_->daemon = MHD_start_daemon(
      flags, 0, nullptr, nullptr, &state::OnAccess, state_.get(),
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
      state_->options.max_connections * kHardLimitFactor,
      MHD_OPTION_CONNECTION_TIMEOUT, Seconds(state_->options.timeouts.idle),
      MHD_OPTION_URI_LOG_CALLBACK, &state::OnTarget, state_.get(),
      MHD_OPTION_NOTIFY_COMPLETED, &state::OnCompleted, state_.get(),
      MHD_OPTION_NOTIFY_CONNECTION, &state::OnConnection, state_.get(),
      MHD_OPTION_END);
  if (state_->daemon == nullptr) return;
  const auto* info =
      MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  state_->watch.Set(info->epoll_fd, true, false);
  state_->PostRun();
  state_->CloseOverdue();
}

http_server::~http_server() { Shut(); }

bool http_server::Listening() const { return state_->daemon != nullptr; }

void http_server::Quiesce() {
  if (state_->daemon == nullptr || state_->quiesced) return;
  // The library would return the number again, which may be another's by then.
  state_->quiesced = true;
  const int fd = MHD_quiesce_daemon(state_->daemon);
  if (fd >= 0) close(fd);
}

void http_server::Shut() {
  if (state_->daemon == nullptr) return;
  state_->watch.Set(-1, false, false);
  state_->loop.Cancel(state_->timeout);
  state_->loop.Cancel(state_->next_overdue);
  // The library refuses to stop while connections are suspended.
  while (!state_->suspended.empty()) (*state_->suspended.begin())->Resume();
  MHD_stop_daemon(state_->daemon);
  state_->daemon = nullptr;
}

void http_server::CloseAfterReplies() { state_->close_after_replies = true; }

void http_server::SetTimeouts(const caller_timeouts& timeouts) {
  state_->options.timeouts = timeouts;
}

void http_server::SetMostBodyBytes(std::size_t bytes) {
  state_->options.max_body_bytes = bytes;
}

unsigned http_server::Connections() const {
  return static_cast<unsigned>(state_->connections.size());
}

}  // namespace basilhoist
