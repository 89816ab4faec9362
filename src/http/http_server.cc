#include "basilhoist/http/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <utility>

#include "basilhoist/ops/event_line.h"
#include "http_server_exchange.h"

namespace basilhoist {
namespace {

constexpr int kListenBacklog = 1024;
// Period of the check for overdue connections. They are closed at most this
// much too late.
constexpr milliseconds kOverdueCheckPeriod{1000};
// Connections over the configured limit are still accepted up to this multiple
// of it, so that each gets an error reply. Beyond it, new connections wait in
// the kernel's listen backlog.
constexpr unsigned kHardLimitFactor = 2;

// Returns a listening socket, or -1 on failure.
int BindSocket(const std::string& address, std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(port);
  const bool valid =
      inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr) == 1;
  if (!valid ||
      bind(fd, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) ||
      listen(fd, kListenBacklog)) {
    close(fd);
    return -1;
  }
  return fd;
}

// Converts to the whole seconds that libmicrohttpd takes. Rounds up and adds
// one second, so that no connection is closed before its timeout.
unsigned SecondsRoundedUp(milliseconds duration) {
  constexpr int kMsPerSecond = 1000;
  return static_cast<unsigned>((duration.count() + kMsPerSecond - 1) /
                               kMsPerSecond) +
         1;
}

// Logs a message of libmicrohttpd, which has the form of printf.
void LogLibraryError(void*, const char* format, va_list arguments) {
  std::array<char, 256> text{};
  static_cast<void>(
      std::vsnprintf(text.data(), text.size(), format, arguments));
  std::string_view message(text.data());
  while (message.ends_with('\n')) message.remove_suffix(1);
  event_line("http", "library_error").With("text", message);
}

}  // namespace

// libmicrohttpd restarts its timeout with each byte received, so it would never
// close the connection of a caller that sends its headers slowly.
void http_server::state::CloseOverdue() {
  const auto limit = options.timeouts.idle + options.timeouts.header;
  const instant now = Now();
  for (const connection* open : connections) {
    if (!open->waiting_since || now - *open->waiting_since <= limit) continue;
    shutdown(open->fd, SHUT_RDWR);
  }
  overdue_timer = loop.After(kOverdueCheckPeriod, [this] { CloseOverdue(); });
}

// Runs before the other callbacks of a request and creates the exchange. Only
// this callback gets the request target undecoded.
void* http_server::state::OnTarget(void* self, const char* target,
                                   MHD_Connection* from) {
  auto& server = *static_cast<state*>(self);
  return new exchange_ptr(std::make_shared<exchange>(server, from, target));
}

// Runs when the headers are complete, then for each part of the body, and again
// at the end of the body.
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
                              SecondsRoundedUp(server.options.timeouts.idle));
    if (current->RejectFromHeaders()) current->QueueStoredReply();
    return MHD_YES;
  }
  return current->Continue(current, upload, upload_size);
}

void http_server::state::OnCompleted(void*, MHD_Connection* from, void** slot,
                                     MHD_RequestTerminationCode code) {
  connection::Of(from).waiting_since = Now();
  auto* finished = static_cast<exchange_ptr*>(*slot);
  if (finished == nullptr) return;
  if (code == MHD_REQUEST_TERMINATED_WITH_ERROR) (*finished)->LogLostReply();
  (*finished)->Detach();
  delete finished;
  *slot = nullptr;
}

void http_server::state::OnConnection(void* self, MHD_Connection* from,
                                      void** slot,
                                      MHD_ConnectionNotificationCode code) {
  auto& server = *static_cast<state*>(self);
  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    auto* closed = static_cast<connection*>(*slot);
    server.connections.erase(closed);
    delete closed;
    *slot = nullptr;
    return;
  }
  const auto* info =
      MHD_get_connection_info(from, MHD_CONNECTION_INFO_CONNECTION_FD);
  auto* opened = new connection{.fd = info->connect_fd, .waiting_since = Now()};
  *slot = opened;
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
  const unsigned flags =
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
  state_->daemon = MHD_start_daemon(
      flags, 0, nullptr, nullptr, &state::OnAccess, state_.get(),
      MHD_OPTION_EXTERNAL_LOGGER, &LogLibraryError, nullptr,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      kConnectionMemory, MHD_OPTION_CONNECTION_LIMIT,
      state_->options.max_connections * kHardLimitFactor,
      MHD_OPTION_CONNECTION_TIMEOUT,
      SecondsRoundedUp(state_->options.timeouts.idle),
      MHD_OPTION_URI_LOG_CALLBACK, &state::OnTarget, state_.get(),
      MHD_OPTION_NOTIFY_COMPLETED, &state::OnCompleted, state_.get(),
      MHD_OPTION_NOTIFY_CONNECTION, &state::OnConnection, state_.get(),
      MHD_OPTION_END);
  if (state_->daemon == nullptr) return;
  const auto* info =
      MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  state_->epoll_watch.Set(info->epoll_fd, true, false);
  state_->PostRun();
  state_->CloseOverdue();
}

http_server::~http_server() { Stop(); }

bool http_server::Listening() const { return state_->daemon != nullptr; }

void http_server::Quiesce() {
  if (state_->daemon == nullptr || state_->quiesced) return;
  // A second MHD_quiesce_daemon call would return the same descriptor number,
  // which another file or socket may use by then.
  state_->quiesced = true;
  const int fd = MHD_quiesce_daemon(state_->daemon);
  if (fd >= 0) close(fd);
}

void http_server::Stop() {
  if (state_->daemon == nullptr) return;
  state_->epoll_watch.Set(-1, false, false);
  state_->loop.Cancel(state_->timeout);
  state_->loop.Cancel(state_->overdue_timer);
  // libmicrohttpd cannot be stopped while connections are suspended.
  while (!state_->suspended.empty()) (*state_->suspended.begin())->Resume();
  MHD_stop_daemon(state_->daemon);
  state_->daemon = nullptr;
}

void http_server::CloseAfterReplies() { state_->close_after_replies = true; }

void http_server::SetTimeouts(const caller_timeouts& timeouts) {
  state_->options.timeouts = timeouts;
}

void http_server::SetMaxBodyBytes(std::size_t bytes) {
  state_->options.max_body_bytes = bytes;
}

unsigned http_server::Connections() const {
  return static_cast<unsigned>(state_->connections.size());
}

std::size_t http_server::UnsentReplies() const {
  return state_->unsent_replies;
}

}  // namespace basilhoist
