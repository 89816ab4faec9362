#include "basilhoist/http/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <set>
#include <utility>

namespace basilhoist {
namespace {

constexpr int kListenBacklog = 1024;
constexpr unsigned kIdleTimeoutSeconds = 60;
// Connections over the limit are still accepted up to this factor, so that
// each can be told why it is refused; past it the kernel holds them back.
constexpr unsigned kHardLimitFactor = 2;

constexpr int kGatewayError = 502;

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

struct http_server::state {
  class exchange;
  using exchange_ptr = std::shared_ptr<exchange>;

  event_loop& loop;
  http_server_options options;
  http_handler handler;
  MHD_Daemon* daemon = nullptr;
  fd_watch watch;
  timer_id timeout = 0;
  bool run_posted = false;
  unsigned connections = 0;
  unsigned idle_timeout_s = kIdleTimeoutSeconds;
  bool close_after_replies = false;
  bool quiesced = false;
  std::set<exchange*> suspended;

  state(event_loop& the_loop, http_server_options the_options,
        http_handler the_handler)
      : loop(the_loop),
        options(std::move(the_options)),
        handler(std::move(the_handler)),
        watch(the_loop, [this](bool, bool) { Run(); }) {}

  void Run() {
    MHD_run(daemon);
    ArmTimeout();
  }

  void PostRun() {
    if (run_posted) return;
    run_posted = true;
    loop.Post([this] {
      run_posted = false;
      if (daemon != nullptr) Run();
    });
  }

  void ArmTimeout() {
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    loop.Cancel(timeout);
    timeout = 0;
    if (MHD_get_timeout(daemon, &wait_ms) != MHD_YES) return;
    timeout = loop.After(milliseconds(wait_ms), [this] {
      timeout = 0;
      Run();
    });
  }

  static void* OnTarget(void* self, const char* target, MHD_Connection*);
  static MHD_Result OnAccess(void* self, MHD_Connection* connection,
                             const char* url, const char* method, const char*,
                             const char* upload, size_t* upload_size,
                             void** slot);
  static void OnCompleted(void*, MHD_Connection*, void** slot,
                          MHD_RequestTerminationCode);
  static void OnConnection(void* self, MHD_Connection*, void** used,
                           MHD_ConnectionNotificationCode code);
};

class http_server::state::exchange : public http_exchange {
 public:
  exchange(state& server, MHD_Connection* connection, std::string target)
      : server_(server),
        connection_(connection),
        target_(std::move(target)),
        body_due_(Now() + server.options.body_timeout),
        caller_watch_(server.loop, [this](bool, bool) { PeekAtCaller(); }) {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    auto* used = static_cast<bool*>(info->socket_context);
    first_ = used != nullptr && !*used;
    if (used != nullptr) *used = true;
  }

  void SetRequestLine(const char* method, const char* path) {
    method_ = method;
    path_ = path;
  }
  [[nodiscard]] bool HasRequestLine() const { return !method_.empty(); }

  bool FirstOnConnection() const override { return first_; }

  const std::string& Method() const override { return method_; }
  const std::string& Path() const override { return path_; }
  const std::string& Target() const override { return target_; }
  const std::string& Body() const override { return body_; }

  std::vector<http_header> Headers() const override {
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

  void OnGone(std::function<void()> gone) override { gone_ = std::move(gone); }

  std::string Header(const char* name) const override {
    return Lookup(MHD_HEADER_KIND, name);
  }
  std::string Argument(const char* name) const override {
    return Lookup(MHD_GET_ARGUMENT_KIND, name);
  }

  std::string PeerAddress() const override {
    if (connection_ == nullptr) return {};
    const auto* info = MHD_get_connection_info(
        connection_, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    char text[INET_ADDRSTRLEN] = {};
    const auto* peer = reinterpret_cast<const sockaddr_in*>(info->client_addr);
    inet_ntop(AF_INET, &peer->sin_addr, text, sizeof text);
    return text;
  }

  void Reply(http_reply reply) override {
    if (replied_ || connection_ == nullptr) return;
    replied_ = true;
    gone_ = nullptr;
    reply_ = std::move(reply);
    if (!suspended_) return;
    Resume();
    server_.PostRun();
  }

  void Resume() {
    suspended_ = false;
    caller_watch_.Set(-1, false, false);
    server_.suspended.erase(this);
    MHD_resume_connection(connection_);
  }

  // One call for each part of the body, one at its end, and one on resume.
  MHD_Result Continue(const std::shared_ptr<exchange>& self, const char* data,
                      size_t* size) {
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
    caller_watch_.Set(Socket(), true, false);
    return MHD_YES;
  }

  bool RefuseEarly() {
    const std::string length = Header("Content-Length");
    const auto limit = server_.options.max_body_bytes;
    if (!length.empty() && std::strtoull(length.c_str(), nullptr, 10) > limit) {
      Refuse(413, "The body is larger than this server takes.");
    } else if (server_.connections > server_.options.max_connections) {
      Refuse(503, "Too many connections are open.");
    }
    return replied_;
  }

  void QueueNow() {
    if (server_.close_after_replies) {
      reply_.headers.push_back({.name = "Connection", .value = "close"});
    }
    QueueReply(connection_, reply_);
  }

  void Detach() {
    connection_ = nullptr;
    caller_watch_.Set(-1, false, false);
    TellGone();
  }

 private:
  [[nodiscard]] int Socket() const {
    return MHD_get_connection_info(connection_,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
  }

  // The library does not read from a suspended connection, so a caller that
  // closes is noticed here. Bytes of a next request end the watch, since they
  // would keep the socket readable.
  void PeekAtCaller() {
    char byte = 0;
    const auto got =
        recv(Socket(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    caller_watch_.Set(-1, false, false);
    if (got > 0) return;
    TellGone();
    // Resumes the connection, so that the library finds it closed.
    Reply({.status = kGatewayError, .content_type = {}});
  }

  void TellGone() {
    if (!gone_) return;
    const auto gone = std::move(gone_);
    gone_ = nullptr;
    gone();
  }

  std::string Lookup(MHD_ValueKind kind, const char* name) const {
    if (connection_ == nullptr) return {};
    const char* value = MHD_lookup_connection_value(connection_, kind, name);
    return value == nullptr ? std::string() : std::string(value);
  }

  void Refuse(int status, std::string_view text) {
    if (server_.options.refuse) {
      Reply(server_.options.refuse(status, text));
    } else {
      Reply({.status = status, .body = std::string(text)});
    }
  }

  void Handle(const std::shared_ptr<exchange>& self) {
    handled_ = true;
    if (oversize_) {
      Refuse(413, "The body is larger than this server takes.");
      return;
    }
    server_.handler(self);
  }

  state& server_;
  MHD_Connection* connection_;
  std::string method_;
  std::string path_;
  std::string target_;
  std::string body_;
  http_reply reply_;
  instant body_due_;
  fd_watch caller_watch_;
  std::function<void()> gone_;
  bool first_ = false;
  bool oversize_ = false;
  bool handled_ = false;
  bool suspended_ = false;
  bool replied_ = false;
};

// Runs first, with the request line as it came; the others get it decoded.
void* http_server::state::OnTarget(void* self, const char* target,
                                   MHD_Connection* connection) {
  auto& server = *static_cast<state*>(self);
  return new exchange_ptr(
      std::make_shared<exchange>(server, connection, target));
}

MHD_Result http_server::state::OnAccess(void* self, MHD_Connection* connection,
                                        const char* url, const char* method,
                                        const char*, const char* upload,
                                        size_t* upload_size, void** slot) {
  const auto& server = *static_cast<state*>(self);
  const exchange_ptr current = *static_cast<exchange_ptr*>(*slot);
  if (!current->HasRequestLine()) {
    current->SetRequestLine(method, url);
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                              server.idle_timeout_s);
    if (current->RefuseEarly()) current->QueueNow();
    return MHD_YES;
  }
  return current->Continue(current, upload, upload_size);
}

void http_server::state::OnCompleted(void*, MHD_Connection*, void** slot,
                                     MHD_RequestTerminationCode) {
  auto* held = static_cast<exchange_ptr*>(*slot);
  if (held == nullptr) return;
  (*held)->Detach();
  delete held;
  *slot = nullptr;
}

void http_server::state::OnConnection(void* self, MHD_Connection* connection,
                                      void** used,
                                      MHD_ConnectionNotificationCode code) {
  auto& server = *static_cast<state*>(self);
  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    delete static_cast<bool*>(*used);
    *used = nullptr;
    --server.connections;
    return;
  }
  ++server.connections;
  *used = new bool(false);
  const int on = 1;
  const auto* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  setsockopt(info->connect_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
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
      MHD_OPTION_CONNECTION_TIMEOUT, kIdleTimeoutSeconds,
      MHD_OPTION_URI_LOG_CALLBACK, &state::OnTarget, state_.get(),
      MHD_OPTION_NOTIFY_COMPLETED, &state::OnCompleted, state_.get(),
      MHD_OPTION_NOTIFY_CONNECTION, &state::OnConnection, state_.get(),
      MHD_OPTION_END);
  if (state_->daemon == nullptr) return;
  const auto* info =
      MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  state_->watch.Set(info->epoll_fd, true, false);
  state_->PostRun();
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
  // The library refuses to stop while connections are suspended.
  while (!state_->suspended.empty()) (*state_->suspended.begin())->Resume();
  MHD_stop_daemon(state_->daemon);
  state_->daemon = nullptr;
}

void http_server::CloseAfterReplies() { state_->close_after_replies = true; }

void http_server::SetIdleTimeout(milliseconds idle) {
  state_->idle_timeout_s =
      static_cast<unsigned>((idle.count() + 999) / 1000) + 1;
}

unsigned http_server::Connections() const { return state_->connections; }

}  // namespace basilhoist
