#include "http_server_connection.h"

#include <poll.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "basilhoist/ops/event_line.h"
#include "http_server_exchange.h"

namespace basilhoist {
namespace {

constexpr int kTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
// While bytes of a pipelined request are unread, the event loop gets no event
// for a closed connection, so the socket is polled with this period.
constexpr milliseconds kPeekPeriod{200};
// Bytes that are read at a time where the end of what is expected is not known.
// What is read too much is kept until the request before it has its reply.
constexpr std::size_t kUnknownReadBytes = std::size_t{16} << 10U;
// A buffer that is empty is kept if it has at most this size.
constexpr std::size_t kKeptBufferBytes = 4096;
// Memory of a parser without what it has received.
constexpr std::size_t kReaderBytes = 512;
// Maximum length of a request target in a log line.
constexpr std::size_t kMaxLoggedTarget = 128;
// Copies of a request's head while it is handled: as received, as sent to
// backend servers, and as written to one of them.
constexpr std::size_t kHeadCopies = 3;

const char* TextFor(int status) {
  switch (status) {
    case kTooLarge:
      return "The body is larger than this server takes.";
    case kHeadTooLarge:
      return "The head of the request is too large.";
    default:
      return "The request is malformed.";
  }
}

bool ExpectsContinue(const received_request& request) {
  constexpr std::string_view kContinue = "100-continue";
  const std::string_view value = request.headers.Find("Expect");
  return !request.is_http_1_0 && value.size() == kContinue.size() &&
         strncasecmp(value.data(), kContinue.data(), value.size()) == 0;
}

}  // namespace

http_server::state::connection::connection(state& server, int fd)
    : server_(server),
      fd_(fd),
      watch_(server.loop,
             [this](bool readable, bool writable) {
               const auto kept = shared_from_this();
               OnEvent(readable, writable);
               kept->server_.EnforceBudget();
             }),
      waiting_since_(Now()),
      fixed_share_(server.options.memory, memory_use::kConnections),
      input_share_(server.options.memory, memory_use::kHeads),
      body_share_(server.options.memory, memory_use::kBodies),
      reply_share_(server.options.memory, memory_use::kReplies) {
  fixed_share_.Resize(kFixedBytes);
}

http_server::state::connection::~connection() {
  if (fd_ >= 0) close(fd_);
}

void http_server::state::connection::Open(connection_list::iterator position) {
  position_ = position;
  watch_.Set(fd_, true, false);
}

void http_server::state::connection::Enter(phase next) {
  server_.In(next).splice(server_.In(next).end(), server_.In(phase_),
                          position_);
  phase_ = next;
  waiting_since_ = Now();
}

void http_server::state::connection::OnEvent(bool readable, bool writable) {
  switch (phase_) {
    case phase::kIdle:
    case phase::kHead:
    case phase::kBody:
      if (readable) Read();
      break;
    case phase::kHandling:
      if (readable) PeekAtCaller();
      break;
    case phase::kReplying:
      if (writable) Run();
      break;
    case phase::kDraining:
      if (readable) Discard();
      break;
    case phase::kClosed:
      break;
  }
}

void http_server::state::connection::Read() {
  std::size_t most = kUnknownReadBytes;
  if (phase_ == phase::kBody && reader_->StatedBytesLeft() > 0) {
    most = std::min(kReadBytes, reader_->StatedBytesLeft());
  }
  const auto received = recv(fd_, server_.scratch->data(), most, 0);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (received <= 0) {
    Close(close_reason::kByCaller);
    return;
  }
  const std::string_view fresh(server_.scratch->data(),
                               static_cast<std::size_t>(received));
  if (input_.empty()) {
    unread_ = fresh;
  } else {
    input_ += fresh;
    unread_ = input_;
  }
  Run();
}

// Does in a loop what can be done without waiting, since callers may send many
// small requests at a time.
void http_server::state::connection::Run() {
  const auto kept = shared_from_this();
  bool from_input = unread_.data() == input_.data();
  if (unread_.empty()) {
    unread_ = input_;
    from_input = true;
  }
  while (phase_ == phase::kReplying ? Send() : Parse()) {
  }
  if (phase_ == phase::kClosed || phase_ == phase::kDraining) {
    unread_ = {};
    input_ = std::string();
  } else if (!from_input) {
    input_.assign(unread_);
  } else {
    input_.erase(0, input_.size() - unread_.size());
  }
  unread_ = {};
  if (input_.empty() && input_.capacity() > kKeptBufferBytes) {
    input_ = std::string();
  }
  UpdateShares();
}

bool http_server::state::connection::Parse() {
  if (phase_ == phase::kIdle) {
    SkipEmptyLines();
    if (unread_.empty()) return false;
    Enter(phase::kHead);
    reader_ = std::make_unique<request_reader>(
        message_limits{.max_head_bytes = server_.options.max_head_bytes,
                       .max_body_bytes = server_.options.max_body_bytes});
  }
  if (phase_ != phase::kHead && phase_ != phase::kBody) return false;
  const std::size_t used = reader_->Consume(unread_);
  unread_.remove_prefix(used);
  switch (reader_->Progress()) {
    case request_progress::kInvalid:
      Refuse(reader_->Status(), TextFor(reader_->Status()));
      return true;
    case request_progress::kComplete:
      if (phase_ == phase::kHead) OnHead();
      if (phase_ != phase::kReplying) OnRequest();
      return true;
    case request_progress::kBody:
      if (phase_ == phase::kHead) {
        OnHead();
        return true;
      }
      return used > 0 && !unread_.empty();
    case request_progress::kHead:
      return false;
  }
  return false;
}

// Some callers end a body with an empty line that does not belong to it.
void http_server::state::connection::SkipEmptyLines() {
  while (!unread_.empty() &&
         (unread_.front() == '\r' || unread_.front() == '\n')) {
    unread_.remove_prefix(1);
  }
}

void http_server::state::connection::OnHead() {
  const received_request& request = reader_->Request();
  keeps_ = reader_->KeepsConnection();
  is_http_1_0_ = request.is_http_1_0;
  is_head_method_ = request.method == "HEAD";
  Enter(phase::kBody);
  const bool too_many = server_.Connections() > server_.options.max_connections;
  if (too_many && !server_.MakeRoom()) {
    server_.CountClose(close_reason::kTooManyConnections);
    Refuse(kUnavailable, "Too many connections are open; it has not run.");
    return;
  }
  if (reader_->Progress() == request_progress::kComplete) return;
  if (!ExpectsContinue(request) || !unread_.empty()) return;
  constexpr std::string_view kInterim = "HTTP/1.1 100 Continue\r\n\r\n";
  const auto sent = send(fd_, kInterim.data(), kInterim.size(), MSG_NOSIGNAL);
  if (sent != static_cast<ssize_t>(kInterim.size())) {
    Close(close_reason::kByCaller);
  }
}

std::size_t http_server::state::connection::RequestBytes() const {
  return kHeadCopies * reader_->HeadBytes() + reader_->BodyBytes();
}

void http_server::state::connection::OnRequest() {
  if (phase_ == phase::kClosed) return;
  const std::size_t bytes = RequestBytes();
  if (!server_.options.memory->MayHandle(bytes)) {
    server_.options.memory->CountRefusal();
    Refuse(kUnavailable, "Too many requests are in progress; it has not run.");
    return;
  }
  current_ = std::make_shared<exchange>(*this, reader_->Release(), !used_,
                                        server_.options.memory, bytes);
  used_ = true;
  reader_.reset();
  Enter(phase::kHandling);
  // A process that was frozen reads a request long after its caller left.
  handling_ = true;
  const auto request = current_;
  if (CallerClosed()) {
    caller_closed_ = true;
    keeps_ = false;
    request->Reply({.status = kBadGateway, .content_type = {}});
  } else {
    server_.handler(request);
  }
  handling_ = false;
  if (phase_ != phase::kHandling) return;
  if (output_) {
    Enter(phase::kReplying);
  } else {
    WatchCaller();
  }
}

void http_server::state::connection::Refuse(int status, std::string_view text) {
  keeps_ = false;
  is_http_1_0_ = reader_->Request().is_http_1_0;
  is_head_method_ = reader_->Request().method == "HEAD";
  StartReply(server_.ErrorReply(status, text));
  Enter(phase::kReplying);
}

void http_server::state::connection::StartReply(http_reply reply) {
  const std::string& target =
      current_ ? current_->Target() : reader_->Request().target;
  const std::string logged_target = target.substr(0, kMaxLoggedTarget);
  if (!CanBeSent(reply)) {
    event_line("http", "reply_replaced")
        .With("target", logged_target)
        .With("status", reply.status)
        .With("head_bytes", MaxHeadBytes(reply));
    reply = server_.ErrorReply(kBadGateway, "The answer can't be sent.");
  }
  if (server_.close_after_replies) keeps_ = false;
  output_.emplace(
      std::move(reply),
      reply_context{.is_http_1_0 = is_http_1_0_, .keeps_connection = keeps_},
      logged_target, is_head_method_);
  ++server_.unsent_replies;
}

// Called from the exchange. A handler may reply while it is deep in its own
// functions, so the reply is sent later.
void http_server::state::connection::OnReply(http_reply reply) {
  StartReply(std::move(reply));
  current_.reset();
  if (handling_) return;
  server_.loop.Cancel(std::exchange(peek_timer_, 0));
  Enter(phase::kReplying);
  UpdateShares();
  server_.QueueReply(shared_from_this());
}

bool http_server::state::connection::Send() {
  while (!output_->Done()) {
    const auto sent = output_->Send(fd_);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && errno == EAGAIN) {
      watch_.Set(fd_, false, true);
      return false;
    }
    if (sent < 0) {
      LogLostReply();
      Close(close_reason::kByCaller);
      return false;
    }
    Enter(phase::kReplying);  // the time without progress starts again
  }
  --server_.unsent_replies;
  output_.reset();
  if (!keeps_) {
    EndAfterReply();
    return false;
  }
  Enter(phase::kIdle);
  watch_.Set(fd_, true, false);
  return true;
}

// If unread bytes remained when the socket is closed, the kernel would reset
// the connection, and the caller could lose the reply.
void http_server::state::connection::EndAfterReply() {
  int unread = 0;
  ioctl(fd_, FIONREAD, &unread);
  if (reader_ || !unread_.empty() || unread > 0) {
    reader_.reset();
    shutdown(fd_, SHUT_WR);
    Enter(phase::kDraining);
    watch_.Set(fd_, true, false);
  } else {
    Close(close_reason::kAfterReply);
  }
}

void http_server::state::connection::Discard() {
  const auto received =
      recv(fd_, server_.scratch->data(), server_.scratch->size(), 0);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (received <= 0) Close(close_reason::kAfterReply);
}

void http_server::state::connection::GiveWay(int status, std::string_view text,
                                             close_reason reason) {
  const auto kept = shared_from_this();
  if (phase_ == phase::kHead || phase_ == phase::kBody) {
    server_.CountClose(reason);
    Refuse(status, text);
    // A caller that does not take the refusal at once does not get it.
    Send();
    if (phase_ == phase::kReplying) Close(close_reason::kByCaller);
    input_ = std::string();
    UpdateShares();
    return;
  }
  if (phase_ == phase::kReplying) LogLostReply();
  Close(reason);
}

void http_server::state::connection::Close(close_reason reason) {
  if (phase_ == phase::kClosed) return;
  const auto kept = shared_from_this();
  server_.CountClose(reason);
  watch_.Set(-1, false, false);
  server_.loop.Cancel(std::exchange(peek_timer_, 0));
  close(std::exchange(fd_, -1));
  server_.In(phase_).erase(position_);
  phase_ = phase::kClosed;
  if (output_) --server_.unsent_replies;
  output_.reset();
  reader_.reset();
  input_ = std::string();
  UpdateShares();
  fixed_share_.Resize(0);
  if (const auto request = std::exchange(current_, nullptr)) request->Detach();
  server_.ResumeAccepting();
}

void http_server::state::connection::SetMaxBodyBytes(std::size_t bytes) {
  if (reader_) reader_->SetMaxBodyBytes(bytes);
}

// Nothing is read while a request is handled, so a caller that closes the
// connection is looked for.
void http_server::state::connection::WatchCaller() {
  watch_.Set(fd_, true, false);
}

void http_server::state::connection::PeekAtCaller() {
  const auto kept = shared_from_this();
  char byte = 0;
  const auto received = recv(fd_, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (received <= 0 || CallerClosed()) {
    OnCallerClosed();
    return;
  }
  // Unread bytes of a pipelined request keep the socket readable and would
  // trigger the watch continuously, so a timer replaces it.
  watch_.Set(fd_, false, false);
  peek_timer_ = server_.loop.After(kPeekPeriod, [this] {
    peek_timer_ = 0;
    PeekAtCaller();
  });
}

bool http_server::state::connection::CallerClosed() const {
  pollfd polled{.fd = fd_, .events = POLLRDHUP};
  return poll(&polled, 1, 0) == 1 &&
         (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void http_server::state::connection::OnCallerClosed() {
  caller_closed_ = true;
  keeps_ = false;
  watch_.Set(fd_, false, false);
  const auto request = current_;
  request->NotifyCallerClosed();
  // A caller that has only ended its own direction still gets a reply.
  request->Reply({.status = kBadGateway, .content_type = {}});
}

void http_server::state::connection::LogLostReply() const {
  if (!caller_closed_) output_->LogLost();
}

void http_server::state::connection::UpdateShares() {
  const std::size_t head = reader_ ? reader_->HeadBytes() + kReaderBytes : 0;
  input_share_.Resize(input_.capacity() + head);
  body_share_.Resize(reader_ ? reader_->BodyBytes() : 0);
  reply_share_.Resize(output_ ? output_->Bytes() : 0);
}

}  // namespace basilhoist
