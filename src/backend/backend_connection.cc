#include "basilhoist/backend/backend_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <utility>

#include "basilhoist/backend/reply_reader.h"

namespace basilhoist {
namespace {

constexpr std::size_t kReadBytes = 16384;

}  // namespace

struct backend_connection::state {
  enum class phase : std::uint8_t { kConnecting, kReady, kClosed };

  event_loop& loop;
  std::function<void()> on_closed;
  fd_watch watch;
  int fd = -1;
  phase at = phase::kConnecting;
  timer_id connect_timer = 0;

  bool busy = false;
  bool sent = false;
  backend_request request;
  std::string output;
  std::size_t written = 0;
  reply_handler done;
  std::optional<reply_reader> reader;
  instant usable_until;
  byte_budget& replies;
  std::size_t held = 0;  // of the budget

  state(event_loop& the_loop, std::function<void()> closed,
        byte_budget& the_replies)
      : loop(the_loop),
        on_closed(std::move(closed)),
        watch(the_loop, [this](bool readable,
                               bool writable) { OnEvent(readable, writable); }),
        replies(the_replies) {}

  void Connect(const endpoint& to) {
    fd = ConnectSocket({}, to);
    if (fd < 0) {
      // A timer, not a post: it is cancelled when the connection goes away.
      connect_timer = loop.After(microseconds(0), [this] {
        connect_timer = 0;
        Fail(exchange_error::kNotConnected);
      });
      return;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    watch.Set(fd, false, true);
    connect_timer = loop.After(kConnectTimeout, [this] {
      connect_timer = 0;
      Fail(exchange_error::kNotConnected);
    });
  }

  void OnEvent(bool readable, bool writable) {
    if (at == phase::kConnecting) {
      FinishConnect();
      return;
    }
    if (writable && !Write()) return;
    if (readable) Read();
  }

  void FinishConnect() {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      Fail(error == ECONNREFUSED ? exchange_error::kRefused
                                 : exchange_error::kNotConnected);
      return;
    }
    loop.Cancel(connect_timer);
    connect_timer = 0;
    at = phase::kReady;
    usable_until = Now() + kIdleTimeout;
    watch.Set(fd, true, false);
    if (busy) Write();
  }

  // Returns whether the connection still stands.
  bool Write() {
    while (written < output.size()) {
      const auto put = send(fd, output.data() + written,
                            output.size() - written, MSG_NOSIGNAL);
      if (put < 0 && errno == EINTR) continue;
      if (put < 0 && errno == EAGAIN) {
        watch.Set(fd, true, true);
        return true;
      }
      if (put < 0) {
        Fail(exchange_error::kBroken);
        return false;
      }
      sent = true;
      written += static_cast<std::size_t>(put);
    }
    watch.Set(fd, true, false);
    return true;
  }

  void Read() {
    if (!busy) {
      // Closed by the server, or bytes that belong to no request.
      Fail(exchange_error::kBroken);
      return;
    }
    char chunk[kReadBytes];
    const auto got = recv(fd, chunk, sizeof chunk, 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (got < 0) {
      Fail(exchange_error::kBroken);
    } else if (got == 0) {
      FinishAtEnd();
    } else {
      Advance(Consume({chunk, static_cast<std::size_t>(got)}));
    }
  }

  // A server that sends without end must not use up what others need.
  read_state Consume(std::string_view bytes) {
    const read_state reached = reader->Consume(bytes);
    if (reached != read_state::kIncomplete) return reached;
    return replies.Resize(held, reader->Buffered()) ? reached
                                                    : read_state::kInvalid;
  }

  void Advance(read_state reached) {
    if (reached == read_state::kComplete) Finish();
    if (reached == read_state::kInvalid) Fail(exchange_error::kGarbled);
  }

  // A reply without a length ends with its connection.
  void FinishAtEnd() {
    const read_state reached = reader->End();
    if (reached == read_state::kIncomplete) {
      Fail(exchange_error::kBroken);
    } else {
      Advance(reached);
    }
  }

  void Finish() {
    const bool reusable = reader->KeepsConnection() && written == output.size();
    const auto stated = reader->AdvertisedIdleTimeout();
    const auto idle = stated ? *stated - kIdleMargin : kIdleTimeout;
    usable_until = Now() + std::min<microseconds>(idle, kIdleTimeout);
    busy = false;
    replies.Resize(held, 0);
    const auto handler = std::move(done);
    backend_reply reply = reader->Release();
    if (!reusable) {
      Shut();
      loop.Post(on_closed);
    }
    handler(std::move(reply));
  }

  void Fail(exchange_error error) {
    if (at == phase::kClosed) return;
    Shut();
    loop.Post(on_closed);
    if (!busy) return;
    busy = false;
    auto handler = std::move(done);
    handler({.error = error, .sent = sent});
  }

  void Shut() {
    at = phase::kClosed;
    replies.Resize(held, 0);
    reader.reset();
    loop.Cancel(connect_timer);
    connect_timer = 0;
    watch.Set(-1, false, false);
    if (fd >= 0) close(fd);
    fd = -1;
  }
};

backend_connection::backend_connection(event_loop& loop, const endpoint& to,
                                       std::function<void()> on_closed,
                                       byte_budget& replies)
    : state_(std::make_unique<state>(loop, std::move(on_closed), replies)) {
  state_->Connect(to);
}

backend_connection::~backend_connection() { state_->Shut(); }

void backend_connection::Send(backend_request request, reply_handler done) {
  state& self = *state_;
  self.busy = true;
  self.sent = false;
  self.done = std::move(done);
  self.request = std::move(request);
  self.output = std::move(self.request.head);
  if (self.request.body) self.output += *self.request.body;
  self.written = 0;
  self.reader.emplace(
      expected_reply{.is_head_method = self.request.is_head_method,
                     .echo_header = self.request.echo_header,
                     .echo_value = self.request.echo_value});
  if (self.at != state::phase::kReady) return;
  // A write that fails must not call back from inside Send.
  const auto put =
      send(self.fd, self.output.data(), self.output.size(), MSG_NOSIGNAL);
  if (put > 0) {
    self.sent = true;
    self.written = static_cast<std::size_t>(put);
  }
  if (self.written < self.output.size()) self.watch.Set(self.fd, true, true);
}

void backend_connection::Close() {
  state_->busy = false;
  state_->Shut();
}

bool backend_connection::Idle(instant now) const {
  return state_->at == state::phase::kReady && !state_->busy &&
         now < state_->usable_until;
}

bool backend_connection::Open() const {
  return state_->at != state::phase::kClosed;
}

}  // namespace basilhoist
