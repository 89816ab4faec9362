#include "basilhoist/http/http_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "http_server_connection.h"
#include "http_server_state.h"

namespace basilhoist {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;
constexpr int kListenBacklog = 1024;
// Connections accepted in one turn of the event loop, so that a crowd that
// connects does not keep it.
constexpr int kMaxAccepts = 64;
// Period of the check for overdue connections. They are closed at most this
// much too late.
constexpr milliseconds kOverdueCheckPeriod{1000};
// Connections over the configured limit are still accepted up to this part of
// it, so that each gets an error reply. Beyond it, new connections wait in the
// kernel's listen backlog.
constexpr std::size_t kOverLimitPart = 8;
constexpr std::size_t kMinOverLimit = 16;
// Pause after a failure to accept, for example for lack of descriptors.
constexpr milliseconds kAcceptPause{100};
// A connection that has waited for at least this long is closed when another
// one needs its place. A request of an ordinary caller arrives within it.
constexpr milliseconds kMinWaitForRoom{1000};
// Time for a caller to read the last reply of a connection.
constexpr milliseconds kDrainTime{1000};

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

std::size_t HardLimit(std::size_t max_connections) {
  return max_connections +
         std::max(kMinOverLimit, max_connections / kOverLimitPart);
}

}  // namespace

std::string_view Name(close_reason value) {
  constexpr std::array<std::string_view, kCloseReasonCount> kNames = {
      "by_caller",    "after_reply",          "idle_timeout",
      "head_timeout", "body_timeout",         "reply_timeout",
      "memory",       "too_many_connections", "stopped"};
  return kNames.at(static_cast<std::size_t>(value));
}

http_server::state::state(event_loop& the_loop, http_server_options the_options,
                          http_handler the_handler)
    : loop(the_loop),
      options(std::move(the_options)),
      handler(std::move(the_handler)),
      listen_watch(the_loop, [this](bool, bool) { AcceptWaiting(); }),
      scratch(std::make_unique_for_overwrite<std::array<char, kReadBytes>>()) {
  if (!options.memory) {
    options.memory = std::make_shared<memory_budget>(memory_budget_options{});
  }
  options.memory->Add(*this);
}

http_server::state::~state() { options.memory->Remove(*this); }

std::size_t http_server::state::Connections() const {
  std::size_t count = 0;
  for (const connection_list& some : by_phase) count += some.size();
  return count;
}

void http_server::state::ResumeAccepting() {
  if (listen_fd < 0 || accepting) return;
  if (Connections() >= HardLimit(options.max_connections)) return;
  accepting = true;
  listen_watch.Set(listen_fd, true, false);
}

void http_server::state::AcceptWaiting() {
  for (int accepts = 0; accepts < kMaxAccepts; ++accepts) {
    if (Connections() >= HardLimit(options.max_connections) && !MakeRoom()) {
      PauseAccepting();
      return;
    }
    const int fd =
        accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      Accept(fd);
    } else if (errno == EAGAIN || errno == ECONNABORTED || errno == EINTR) {
      return;
    } else if (!MakeRoom()) {  // for lack of descriptors, for example
      PauseAccepting();
      return;
    }
  }
}

// The waiting connection would trigger the watch continuously.
void http_server::state::PauseAccepting() {
  accepting = false;
  listen_watch.Set(-1, false, false);
  loop.Cancel(accept_timer);
  accept_timer = loop.After(kAcceptPause, [this] {
    accept_timer = 0;
    if (listen_fd < 0 || accepting) return;
    accepting = true;
    listen_watch.Set(listen_fd, true, false);
  });
}

void http_server::state::Accept(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  auto accepted = std::make_shared<connection>(*this, fd);
  connection_list& idle = In(phase::kIdle);
  idle.push_back(accepted);
  accepted->Open(std::prev(idle.end()));
  ArmOverdueTimer();
}

http_server::state::connection_ptr http_server::state::Oldest(
    wait_kind kind) const {
  // Connections that are draining hold no buffers.
  constexpr std::array kTransfers = {phase::kHead, phase::kBody,
                                     phase::kReplying};
  connection_ptr oldest;
  const auto consider = [&oldest](const connection_list& some) {
    if (some.empty()) return;
    if (!oldest || some.front()->WaitingSince() < oldest->WaitingSince()) {
      oldest = some.front();
    }
  };
  if (kind == wait_kind::kIdle) {
    consider(In(phase::kIdle));
  } else {
    for (const phase value : kTransfers) consider(In(value));
  }
  return oldest;
}

std::optional<instant> http_server::state::OldestWait(wait_kind kind) const {
  const connection_ptr oldest = Oldest(kind);
  if (!oldest) return std::nullopt;
  return oldest->WaitingSince();
}

std::size_t http_server::state::Waiting(wait_kind kind) const {
  if (kind == wait_kind::kIdle) return In(phase::kIdle).size();
  return In(phase::kHead).size() + In(phase::kBody).size() +
         In(phase::kReplying).size();
}

void http_server::state::EndOldestWait(wait_kind kind) {
  if (const connection_ptr oldest = Oldest(kind)) {
    oldest->GiveWay(kUnavailable,
                    "Requests use too much memory; it has not run.",
                    close_reason::kMemory);
  }
}

bool http_server::state::MakeRoom() {
  if (!In(phase::kDraining).empty()) {
    const connection_ptr oldest = In(phase::kDraining).front();
    oldest->Close(close_reason::kAfterReply);
    return true;
  }
  const instant now = Now();
  for (const wait_kind kind : {wait_kind::kTransfer, wait_kind::kIdle}) {
    const connection_ptr oldest = Oldest(kind);
    if (!oldest || now - oldest->WaitingSince() < kMinWaitForRoom) continue;
    oldest->GiveWay(kUnavailable,
                    "Too many connections are open; it has not run.",
                    close_reason::kTooManyConnections);
    oldest->Close(close_reason::kAfterReply);
    return true;
  }
  return false;
}

void http_server::state::CloseOverdueIn(phase value, microseconds limit,
                                        close_reason reason) {
  const instant now = Now();
  while (!In(value).empty()) {
    const connection_ptr oldest = In(value).front();
    if (now - oldest->WaitingSince() <= limit) return;
    oldest->GiveWay(kRequestTimeout,
                    "The request did not arrive in time; it has not run.",
                    reason);
  }
}

void http_server::state::CloseOverdue() {
  CloseOverdueIn(phase::kDraining, kDrainTime, close_reason::kAfterReply);
  CloseOverdueIn(phase::kIdle, options.timeouts.idle,
                 close_reason::kIdleTimeout);
  CloseOverdueIn(phase::kHead, options.timeouts.header,
                 close_reason::kHeadTimeout);
  CloseOverdueIn(phase::kBody, options.body_timeout,
                 close_reason::kBodyTimeout);
  CloseOverdueIn(phase::kReplying, options.timeouts.idle,
                 close_reason::kReplyTimeout);
}

void http_server::state::ArmOverdueTimer() {
  if (overdue_timer != 0 || Connections() == 0) return;
  overdue_timer = loop.After(kOverdueCheckPeriod, [this] {
    overdue_timer = 0;
    CloseOverdue();
    ArmOverdueTimer();
  });
}

void http_server::state::QueueReply(connection_ptr from) {
  replied.push_back(std::move(from));
  if (send_posted) return;
  send_posted = true;
  loop.Post([weak = std::weak_ptr(self)] {
    if (const auto server = weak.lock()) (*server)->SendReplies();
  });
}

void http_server::state::SendReplies() {
  send_posted = false;
  const auto sending = std::exchange(replied, {});
  for (const connection_ptr& each : sending) {
    if (each->Phase() == phase::kReplying) each->Run();
  }
  EnforceBudget();
}

http_reply http_server::state::ErrorReply(int status,
                                          std::string_view text) const {
  if (options.make_error_reply) return options.make_error_reply(status, text);
  return {.status = status, .body = std::string(text)};
}

http_server::http_server(event_loop& loop, http_server_options options,
                         http_handler handler)
    : state_(std::make_unique<state>(loop, std::move(options),
                                     std::move(handler))) {
  state_->listen_fd = BindSocket(state_->options.address, state_->options.port);
  state_->ResumeAccepting();
}

http_server::~http_server() { Stop(); }

bool http_server::Listening() const { return state_->listen_fd >= 0; }

void http_server::Quiesce() {
  if (state_->listen_fd < 0) return;
  state_->listen_watch.Set(-1, false, false);
  state_->loop.Cancel(std::exchange(state_->accept_timer, 0));
  state_->accepting = false;
  close(std::exchange(state_->listen_fd, -1));
}

void http_server::Stop() {
  Quiesce();
  state_->loop.Cancel(std::exchange(state_->overdue_timer, 0));
  for (state::connection_list& some : state_->by_phase) {
    while (!some.empty()) {
      const auto open = some.front();
      open->Close(close_reason::kStopped);
    }
  }
}

void http_server::CloseAfterReplies() { state_->close_after_replies = true; }

void http_server::SetTimeouts(const caller_timeouts& timeouts) {
  state_->options.timeouts = timeouts;
}

void http_server::SetMaxBodyBytes(std::size_t bytes) {
  state_->options.max_body_bytes = bytes;
  for (const auto& open : state_->In(state::phase::kBody)) {
    open->SetMaxBodyBytes(bytes);
  }
}

void http_server::SetMaxHeadBytes(std::size_t bytes) {
  state_->options.max_head_bytes = bytes;
}

unsigned http_server::Connections() const {
  return static_cast<unsigned>(state_->Connections());
}

std::size_t http_server::UnsentReplies() const {
  return state_->unsent_replies;
}

std::uint64_t http_server::Closed(close_reason reason) const {
  return state_->closed_by_reason.at(static_cast<std::size_t>(reason));
}

}  // namespace basilhoist
