#include "basilhoist/backend/backend_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <utility>

#include "basilhoist/backend/reply_reader.h"

namespace basilhoist {
namespace {

constexpr std::size_t kReadChunkBytes = 16384;

}  // namespace

struct backend_connection::state {
  enum class phase : std::uint8_t { kConnecting, kReady, kClosed };

  event_loop& loop;
  std::function<void()> on_closed;
  fd_watch watch;
  int fd = -1;
  phase current_phase = phase::kConnecting;
  timer_id connect_timer = 0;

  bool busy = false;
  bool sent = false;  // whether any byte of the request was sent
  backend_request request;
  std::size_t written = 0;  // of the request's head and body
  reply_handler done;
  std::optional<reply_reader> reader;
  instant usable_until;
  byte_budget& reply_budget;
  std::size_t buffered = 0;  // size of the reply as counted in the budget
  bool over_budget = false;  // the reply was rejected for lack of memory

  state(event_loop& the_loop, std::function<void()> closed, byte_budget& budget)
      : loop(the_loop),
        on_closed(std::move(closed)),
        watch(the_loop, [this](bool readable,
                               bool writable) { OnEvent(readable, writable); }),
        reply_budget(budget) {}

  void Connect(const endpoint& to) {
    fd = ConnectSocket({}, to);
    if (fd < 0) {
      // Reports the failure from the event loop. A timer is used instead of a
      // posted task, because it is cancelled when the connection is destroyed.
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
    if (current_phase == phase::kConnecting) {
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
    current_phase = phase::kReady;
    usable_until = Now() + kIdleTimeout;
    watch.Set(fd, true, false);
    if (busy) Write();
  }

  [[nodiscard]] std::size_t RequestSize() const {
    return request.head.size() + (request.body ? request.body->size() : 0);
  }

  // Sends what the operating system takes. The body is shared by the sends of a
  // request to many servers, so it is not copied behind the head.
  ssize_t SendSome() {
    const std::size_t head_written = std::min(written, request.head.size());
    const std::size_t body_written = written - head_written;
    std::array<iovec, 2> parts = {iovec{request.head.data() + head_written,
                                        request.head.size() - head_written},
                                  iovec{}};
    if (request.body) {
      // The system call takes no pointers to constants.
      parts[1] = {const_cast<char*>(request.body->data()) + body_written,
                  request.body->size() - body_written};
    }
    const msghdr message{.msg_iov = parts.data(), .msg_iovlen = parts.size()};
    return sendmsg(fd, &message, MSG_NOSIGNAL);
  }

  // Returns whether the connection is still open.
  bool Write() {
    while (written < RequestSize()) {
      const auto sent_bytes = SendSome();
      if (sent_bytes < 0 && errno == EINTR) continue;
      if (sent_bytes < 0 && errno == EAGAIN) {
        watch.Set(fd, true, true);
        return true;
      }
      if (sent_bytes < 0) {
        Fail(exchange_error::kBroken);
        return false;
      }
      sent = true;
      written += static_cast<std::size_t>(sent_bytes);
    }
    watch.Set(fd, true, false);
    return true;
  }

  void Read() {
    if (!busy) {
      // The server closed the connection or sent bytes without a request.
      Fail(exchange_error::kBroken);
      return;
    }
    char chunk[kReadChunkBytes];
    const auto received = recv(fd, chunk, sizeof chunk, 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (received < 0) {
      Fail(exchange_error::kBroken);
    } else if (received == 0) {
      OnEndOfStream();
    } else {
      HandleProgress(Consume({chunk, static_cast<std::size_t>(received)}));
    }
  }

  // Rejects a reply that exceeds the shared memory budget, so that a server
  // that sends without end cannot exhaust the memory that other replies need.
  read_state Consume(std::string_view bytes) {
    const read_state progress = reader->Consume(bytes);
    if (progress != read_state::kIncomplete) return progress;
    if (reply_budget.Resize(buffered, reader->Buffered())) return progress;
    over_budget = true;
    return read_state::kInvalid;
  }

  void HandleProgress(read_state progress) {
    if (progress == read_state::kComplete) Finish();
    if (progress == read_state::kInvalid) Fail(exchange_error::kGarbled);
  }

  // A reply without Content-Length or chunked encoding ends when the server
  // closes the connection.
  void OnEndOfStream() {
    const read_state progress = reader->End();
    if (progress == read_state::kIncomplete) {
      Fail(exchange_error::kBroken);
    } else {
      HandleProgress(progress);
    }
  }

  // Passes the complete reply to the handler. The connection is reused only if
  // the whole request was written: the server may reply before it has read a
  // long body.
  void Finish() {
    const bool reusable = reader->KeepsConnection() && written == RequestSize();
    const auto advertised = reader->AdvertisedIdleTimeout();
    const auto idle = advertised ? *advertised - kIdleMargin : kIdleTimeout;
    usable_until = Now() + std::min<microseconds>(idle, kIdleTimeout);
    busy = false;
    request = {};
    reply_budget.Resize(buffered, 0);
    const auto handler = std::move(done);
    backend_reply reply = reader->Release();
    if (!reusable) {
      Shutdown();
      loop.Post(on_closed);
    }
    handler(std::move(reply));
  }

  // Closes the connection and reports the error to the request in flight.
  void Fail(exchange_error error) {
    if (current_phase == phase::kClosed) return;
    backend_reply reply = FailedReply(error);
    Shutdown();
    loop.Post(on_closed);
    if (!busy) return;
    busy = false;
    auto handler = std::move(done);
    handler(std::move(reply));
  }

  [[nodiscard]] backend_reply FailedReply(exchange_error error) const {
    backend_reply reply{.error = error, .sent = sent};
    if (!reader) return reply;
    reply.fault = over_budget ? message_fault::kNoMemory : reader->Fault();
    reply.received_bytes = reader->ReceivedBytes();
    return reply;
  }

  void Shutdown() {
    current_phase = phase::kClosed;
    reply_budget.Resize(buffered, 0);
    reader.reset();
    loop.Cancel(connect_timer);
    connect_timer = 0;
    watch.Set(-1, false, false);
    // A request without a reply was given up. Closing alone would leave its
    // bytes to the kernel, which delivers them when a cut path is back.
    if (fd >= 0 && busy) DropUnsentBytes(fd);
    if (fd >= 0) close(fd);
    fd = -1;
  }
};

backend_connection::backend_connection(event_loop& loop, const endpoint& to,
                                       std::function<void()> on_closed,
                                       byte_budget& reply_budget)
    : state_(
          std::make_unique<state>(loop, std::move(on_closed), reply_budget)) {
  state_->Connect(to);
}

backend_connection::~backend_connection() { state_->Shutdown(); }

void backend_connection::Send(backend_request request, reply_handler done) {
  state& self = *state_;
  self.busy = true;
  self.sent = false;
  self.done = std::move(done);
  self.request = std::move(request);
  self.written = 0;
  self.reader.emplace(
      expected_reply{.is_head_method = self.request.is_head_method,
                     .echo_header = self.request.echo_header,
                     .echo_value = self.request.echo_value});
  if (self.current_phase != state::phase::kReady) return;
  // An error of this write is ignored here, because a failure must not call
  // the handler from inside Send; the event loop reports it afterwards.
  const auto sent_bytes = self.SendSome();
  if (sent_bytes > 0) {
    self.sent = true;
    self.written = static_cast<std::size_t>(sent_bytes);
  }
  if (self.written < self.RequestSize()) self.watch.Set(self.fd, true, true);
}

void backend_connection::Close() {
  state_->Shutdown();
  state_->busy = false;
}

bool backend_connection::Idle(instant now) const {
  return state_->current_phase == state::phase::kReady && !state_->busy &&
         now < state_->usable_until;
}

bool backend_connection::Open() const {
  return state_->current_phase != state::phase::kClosed;
}

}  // namespace basilhoist
