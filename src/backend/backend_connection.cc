#include "basilhoist/backend/backend_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

namespace basilhoist {
namespace {

namespace http = boost::beast::http;
using reply_parser = http::response_parser<http::string_body>;

constexpr std::size_t kReadBytes = 16384;
// Parts and records are a few kilobytes; more than this is no proper reply.
constexpr std::uint64_t kMaxReplyBytes = 16U << 20U;
constexpr std::uint32_t kMaxHeaderBytes = 64U << 10U;
constexpr int kContinueStatus = 100;

// Reads N of "timeout=N".
std::optional<milliseconds> StatedIdleTimeout(std::string_view keep_alive) {
  constexpr std::string_view kKey = "timeout=";
  const auto at = keep_alive.find(kKey);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view digits = keep_alive.substr(at + kKey.size());
  int seconds = 0;
  const auto read =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (read.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

std::string_view Name(exchange_fault value) {
  switch (value) {
    case exchange_fault::kNone:
      return "none";
    case exchange_fault::kNotConnected:
      return "not_connected";
    case exchange_fault::kBroken:
      return "broken";
    case exchange_fault::kGarbled:
      return "garbled";
  }
  return "unknown";
}

bool SameHeader(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

const std::string* backend_reply::Header(std::string_view name) const {
  for (const http_header& each : headers) {
    if (SameHeader(each.name, name)) return &each.value;
  }
  return nullptr;
}

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
  std::optional<reply_parser> parser;
  std::string input;
  instant usable_until;

  state(event_loop& the_loop, std::function<void()> closed)
      : loop(the_loop),
        on_closed(std::move(closed)),
        watch(the_loop, [this](bool readable, bool writable) {
          OnEvent(readable, writable);
        }) {}

  void Connect(const endpoint& to) {
    fd = ConnectSocket({}, to);
    if (fd < 0) {
      // A timer, not a post: it is cancelled when the connection goes away.
      connect_timer = loop.After(microseconds(0), [this] {
        connect_timer = 0;
        Fail(exchange_fault::kNotConnected);
      });
      return;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    watch.Set(fd, false, true);
    connect_timer = loop.After(kConnectTimeout, [this] {
      connect_timer = 0;
      Fail(exchange_fault::kNotConnected);
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
      Fail(exchange_fault::kNotConnected);
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
        Fail(exchange_fault::kBroken);
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
      Fail(exchange_fault::kBroken);
      return;
    }
    char chunk[kReadBytes];
    const auto got = recv(fd, chunk, sizeof chunk, 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (got < 0) {
      Fail(exchange_fault::kBroken);
    } else if (got == 0) {
      FinishAtEnd();
    } else {
      input.append(chunk, static_cast<std::size_t>(got));
      Parse();
    }
  }

  void Parse() {
    while (!input.empty()) {
      boost::system::error_code error;
      const std::size_t used = parser->put(boost::asio::buffer(input), error);
      input.erase(0, used);
      if (error == http::error::need_more) {
        if (used == 0 || input.empty()) return;
        continue;
      }
      if (error) {
        Fail(exchange_fault::kGarbled);
        return;
      }
      if (!parser->is_done()) continue;
      if (parser->get().result_int() / 100 != kContinueStatus / 100) {
        Finish();
        return;
      }
      PrepareParser();
    }
  }

  // A reply without a length ends with its connection.
  void FinishAtEnd() {
    boost::system::error_code error;
    if (parser->is_header_done()) parser->put_eof(error);
    if (!parser->is_done() || error) {
      Fail(exchange_fault::kBroken);
      return;
    }
    Finish();
  }

  void Finish() {
    backend_reply reply{.sent = true};
    auto message = parser->release();
    reply.status = static_cast<int>(message.result_int());
    std::optional<milliseconds> stated;
    for (const auto& field : message) {
      reply.headers.push_back({.name = std::string(field.name_string()),
                               .value = std::string(field.value())});
      if (field.name() == http::field::keep_alive) {
        stated = StatedIdleTimeout(field.value());
      }
    }
    const bool reusable = message.keep_alive() && !message.need_eof() &&
                          input.empty() && written == output.size();
    const std::string* echo = reply.Header(request.echo_header);
    if (echo != nullptr && *echo != request.echo_value) {
      Fail(exchange_fault::kGarbled);
      return;
    }
    reply.body = std::move(message.body());
    const auto idle = stated ? *stated - kIdleMargin : kIdleTimeout;
    usable_until = Now() + std::min<microseconds>(idle, kIdleTimeout);
    busy = false;
    auto handler = std::move(done);
    if (!reusable) {
      Shut();
      loop.Post(on_closed);
    }
    handler(std::move(reply));
  }

  void PrepareParser() {
    parser.emplace();
    parser->eager(true);
    parser->body_limit(kMaxReplyBytes);
    parser->header_limit(kMaxHeaderBytes);
    parser->skip(request.is_head_method);
  }

  void Fail(exchange_fault fault) {
    if (at == phase::kClosed) return;
    Shut();
    loop.Post(on_closed);
    if (!busy) return;
    busy = false;
    auto handler = std::move(done);
    handler({.fault = fault, .sent = sent});
  }

  void Shut() {
    at = phase::kClosed;
    loop.Cancel(connect_timer);
    connect_timer = 0;
    watch.Set(-1, false, false);
    if (fd >= 0) close(fd);
    fd = -1;
  }
};

backend_connection::backend_connection(event_loop& loop, const endpoint& to,
                                       std::function<void()> on_closed)
    : state_(std::make_unique<state>(loop, std::move(on_closed))) {
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
  self.input.clear();
  self.PrepareParser();
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
