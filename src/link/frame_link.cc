#include "basilhoist/link/frame_link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace basilhoist {
namespace {

constexpr std::size_t kHeaderBytes = 5;
constexpr std::size_t kMaxFrameBytes = 16U << 20U;
constexpr std::size_t kKeptBufferBytes = 16U << 10U;
constexpr std::size_t kReadBytes = 64U << 10U;
// Reads in one turn of the event loop, so that a peer that sends without end
// does not keep it.
constexpr int kMaxReads = 16;
// A peer that takes nothing for so long that this much piles up is cut off.
constexpr std::size_t kMaxUnsentBytes = 64U << 20U;
constexpr int kListenBacklog = 512;
constexpr milliseconds kAcceptPause{100};

sockaddr_in ToSocketAddress(const endpoint& value) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(value.port);
  inet_pton(AF_INET, value.address.c_str(), &result.sin_addr);
  return result;
}

// A large document must not leave its size behind in every link's buffer.
void GiveBack(std::string& buffer) {
  if (buffer.capacity() > kKeptBufferBytes) std::string().swap(buffer);
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

struct frame_link::state {
  event_loop& loop;
  int fd;
  fd_watch watch;
  frame_handler on_frame;
  std::function<void()> on_closed;
  std::string input;
  std::string output;
  microseconds delay{0};
  bool flush_posted = false;
  std::shared_ptr<byte_budget> budget;
  std::size_t held = 0;  // of the budget
  instant last_frame_at = Now();
  std::optional<instant> receiving_since;  // a frame that is not whole yet
  std::optional<instant> sending_since;    // without progress

  state(event_loop& the_loop, int the_fd, frame_link* self)
      : loop(the_loop), fd(the_fd), watch(the_loop, [self](bool r, bool w) {
          const auto kept = self->shared_from_this();
          if (w) kept->state_->Flush();
          if (r) kept->state_->Read();
        }) {}

  void Fail() {
    if (fd < 0) return;
    Shut();
    if (on_closed) on_closed();
  }

  // Capacities are counted, since a string that grows by appending occupies up
  // to twice its size.
  [[nodiscard]] bool WithinBudget() {
    if (!budget) return true;
    return budget->Resize(held,
                          fd < 0 ? 0 : input.capacity() + output.capacity());
  }

  void Shut() {
    if (budget) budget->Resize(held, 0);
    watch.Set(-1, false, false);
    if (fd >= 0) close(fd);
    fd = -1;
  }

  void Flush() {
    if (!sending_since) sending_since = Now();
    while (fd >= 0 && !output.empty()) {
      const auto sent = send(fd, output.data(), output.size(), MSG_NOSIGNAL);
      if (sent < 0) break;
      output.erase(0, static_cast<std::size_t>(sent));
      sending_since = Now();
    }
    if (fd < 0) return;
    const bool blocked = output.empty() || errno == EAGAIN || errno == ENOTCONN;
    if (!blocked || output.size() > kMaxUnsentBytes || !WithinBudget()) {
      Fail();
      return;
    }
    if (output.empty()) {
      GiveBack(output);
      sending_since.reset();
    }
    watch.Set(fd, true, !output.empty());
  }

  // Reads to the end, so that a close behind the last frame is handled before
  // the work of the frame starts.
  void Read() {
    std::array<char, kReadBytes> chunk;  // not cleared: it is large
    bool ended = false;
    for (int reads = 0; reads < kMaxReads && fd >= 0 && !ended; ++reads) {
      const auto got = recv(fd, chunk.data(), chunk.size(), 0);
      if (got > 0) {
        input.append(chunk.data(), static_cast<std::size_t>(got));
        continue;
      }
      if (got < 0 && errno == EAGAIN) break;
      ended = true;
    }
    Deliver();
    if (ended) Fail();
  }

  void Deliver() {
    std::size_t used = 0;
    while (fd >= 0 && input.size() - used >= kHeaderBytes) {
      std::uint32_t size = 0;
      std::memcpy(&size, input.data() + used, sizeof size);
      size = ntohl(size);
      if (size > kMaxFrameBytes) {
        Fail();
        return;
      }
      if (input.size() - used < kHeaderBytes + size) break;
      const auto kind = static_cast<frame_kind>(input[used + 4]);
      const std::string_view bytes(input);
      last_frame_at = Now();
      receiving_since.reset();
      on_frame(kind, bytes.substr(used + kHeaderBytes, size));
      used += kHeaderBytes + size;
    }
    input.erase(0, used);
    if (input.empty()) {
      GiveBack(input);
    } else if (!receiving_since) {
      receiving_since = Now();
    }
    if (!WithinBudget()) Fail();
  }

  void Append(const std::string& bytes) {
    if (fd < 0) return;
    output += bytes;
  }
};

frame_link::frame_link(event_loop& loop, int fd)
    : state_(std::make_unique<state>(loop, fd, this)) {
  SetNoDelay(fd);
}

frame_link::~frame_link() { state_->Shut(); }

void frame_link::Open(frame_handler on_frame, std::function<void()> on_closed) {
  state_->on_frame = std::move(on_frame);
  state_->on_closed = std::move(on_closed);
  state_->watch.Set(state_->fd, true, true);
}

void frame_link::Send(frame_kind kind, const std::string& payload) {
  if (state_->fd < 0) return;
  const std::uint32_t size = htonl(static_cast<std::uint32_t>(payload.size()));
  std::string frame(kHeaderBytes, '\0');
  std::memcpy(frame.data(), &size, sizeof size);
  frame[4] = static_cast<char>(kind);
  frame += payload;
  const auto append = [self = shared_from_this()](const std::string& bytes) {
    self->state_->Append(bytes);
    // Frames of one turn leave in one write.
    if (self->state_->flush_posted) return;
    self->state_->flush_posted = true;
    self->state_->loop.Post([self] {
      self->state_->flush_posted = false;
      self->state_->Flush();
    });
  };
  if (state_->delay.count() == 0) {
    append(frame);
    return;
  }
  state_->loop.After(state_->delay,
                     [append, frame = std::move(frame)] { append(frame); });
}

void frame_link::ShareMemory(std::shared_ptr<byte_budget> budget) {
  state_->budget = std::move(budget);
}

void frame_link::SetDelay(microseconds delay) { state_->delay = delay; }

void frame_link::Close() { state_->Shut(); }

void frame_link::Break() { state_->Fail(); }

void frame_link::Abort() {
  if (state_->fd >= 0) DropUnsentBytes(state_->fd);
  state_->Shut();
}

bool frame_link::IsOpen() const { return state_->fd >= 0; }

std::optional<instant> frame_link::WaitingSince() const {
  if (!IsOpen()) return std::nullopt;
  const auto& receiving = state_->receiving_since;
  const auto& sending = state_->sending_since;
  if (!receiving || !sending) return receiving ? receiving : sending;
  return std::min(*receiving, *sending);
}

instant frame_link::LastFrameAt() const { return state_->last_frame_at; }

bool frame_link::HasUnsentBytes() const {
  return IsOpen() && !state_->output.empty();
}

void DropUnsentBytes(int fd) {
  const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
}

int ConnectSocket(const std::string& from, const endpoint& to) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const sockaddr_in local = ToSocketAddress({from, 0});
  if (!from.empty() &&
      bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0) {
    close(fd);
    return -1;
  }
  const sockaddr_in remote = ToSocketAddress(to);
  const int failed =
      connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof remote);
  if (failed != 0 && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

link_listener::link_listener(event_loop& loop, const endpoint& where,
                             accept_handler on_link)
    : loop_(loop),
      on_link_(std::move(on_link)),
      watch_(loop, [this](bool, bool) {
        while (true) {
          const int fd =
              accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
          if (fd < 0) {
            if (errno != EAGAIN && errno != ECONNABORTED) Pause();
            return;
          }
          on_link_(std::make_shared<frame_link>(loop_, fd));
        }
      }) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in local = ToSocketAddress(where);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    close(fd);
    return;
  }
  fd_ = fd;
  watch_.Set(fd_, true, false);
}

// A connection that cannot be accepted, for example for lack of descriptors,
// would trigger the watch continuously.
void link_listener::Pause() {
  watch_.Set(-1, false, false);
  pause_timer_ = loop_.After(kAcceptPause, [this] {
    pause_timer_ = 0;
    watch_.Set(fd_, true, false);
  });
}

link_listener::~link_listener() {
  loop_.Cancel(pause_timer_);
  watch_.Set(-1, false, false);
  if (fd_ >= 0) close(fd_);
}

}  // namespace basilhoist
