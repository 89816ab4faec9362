#include "basilhoist/http/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

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
  MHD_add_response_header(response, "Content-Type", reply.content_type.c_str());
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
  exchange(state& server, MHD_Connection* connection, std::string method,
           std::string path)
      : server_(server),
        connection_(connection),
        method_(std::move(method)),
        path_(std::move(path)),
        body_due_(Now() + server.options.body_timeout) {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    auto* used = static_cast<bool*>(info->socket_context);
    first_ = used != nullptr && !*used;
    if (used != nullptr) *used = true;
  }

  bool FirstOnConnection() const override { return first_; }

  const std::string& Method() const override { return method_; }
  const std::string& Path() const override { return path_; }
  const std::string& Body() const override { return body_; }

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
    reply_ = std::move(reply);
    if (!suspended_) return;
    Resume();
    server_.PostRun();
  }

  void Resume() {
    suspended_ = false;
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
      QueueReply(connection_, reply_);
      return MHD_YES;
    }
    suspended_ = true;
    server_.suspended.insert(this);
    MHD_suspend_connection(connection_);
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

  void QueueNow() { QueueReply(connection_, reply_); }

  void Detach() { connection_ = nullptr; }

 private:
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
  std::string body_;
  http_reply reply_;
  instant body_due_;
  bool first_ = false;
  bool oversize_ = false;
  bool handled_ = false;
  bool suspended_ = false;
  bool replied_ = false;
};

MHD_Result http_server::state::OnAccess(void* self, MHD_Connection* connection,
                                        const char* url, const char* method,
                                        const char*, const char* upload,
                                        size_t* upload_size, void** slot) {
  auto& server = *static_cast<state*>(self);
  if (*slot == nullptr) {
    auto made = std::make_shared<exchange>(server, connection, method, url);
    *slot = new exchange_ptr(made);
    if (made->RefuseEarly()) made->QueueNow();
    return MHD_YES;
  }
  const exchange_ptr current = *static_cast<exchange_ptr*>(*slot);
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
  if (state_->daemon == nullptr) return;
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

unsigned http_server::Connections() const { return state_->connections; }

}  // namespace basilhoist
