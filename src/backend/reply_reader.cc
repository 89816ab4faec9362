#include "basilhoist/backend/reply_reader.h"

#include <charconv>
#include <string>
#include <utility>

#include "basilhoist/http/header_block.h"
#include "basilhoist/http/message_parser.h"
#include "basilhoist/http/status.h"

namespace basilhoist {
namespace {

// Shard results and records have a few kilobytes; a reply with a larger body or
// larger headers is rejected as invalid.
constexpr message_limits kLimits{.max_head_bytes = std::size_t{64} << 10U,
                                 .max_body_bytes = std::size_t{16} << 20U};
constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// One interim or final reply.
struct received_reply {
  int status = 0;
  header_block headers;
  std::size_t head_bytes = 0;
  std::string body;
};

class reply_parser : public message_parser<false, received_reply> {
 public:
  explicit reply_parser(bool is_head_method) : message_parser(kLimits) {
    skip(is_head_method);
  }

  // Returns whether the end of the reply does not depend on the connection's.
  [[nodiscard]] bool StatesItsEnd() const {
    const int status = Message().status;
    return status == kNoContent || status == kNotModified || chunked() ||
           content_length().has_value();
  }

 private:
  void on_request_impl(boost::beast::http::verb, string_view, string_view, int,
                       error_code&) override {}

  void on_response_impl(int status, string_view, int, error_code&) override {
    Message().status = status;
  }

  // A reply to a request is a final one, or an interim one, which has no body
  // of its own (RFC 9110, sections 8.6 and 15.2). Requests ask for no other
  // protocol, so 101 answers none of them.
  [[nodiscard]] message_fault CheckHead() const override {
    const received_reply& reply = Message();
    bool valid = IsFinalStatus(reply.status);
    if (KindOfStatus(reply.status) == status_kind::kInterim) {
      valid = reply.status != kSwitchingProtocols &&
              reply.headers.Count("Content-Length") == 0 &&
              reply.headers.Count("Transfer-Encoding") == 0;
    }
    return valid ? message_fault::kNone : message_fault::kInvalidStatus;
  }
};

}  // namespace

struct reply_reader::state {
  expected_reply expected;
  std::optional<reply_parser> parser;
  std::string input;
  std::optional<std::string> keep_alive;
  int interim_count = 0;
  message_fault fault = message_fault::kNone;
  std::size_t received_bytes = 0;

  // Starts the parser for the next interim or final reply.
  void ResetParser() { parser.emplace(expected.is_head_method); }

  read_state Reject(message_fault why) {
    fault = why;
    return read_state::kInvalid;
  }

  // Rejects a reply to another request and stores the Keep-Alive header.
  read_state Finish() {
    const header_block& headers = parser->Message().headers;
    if (!expected.echo_header.empty() &&
        headers.Count(expected.echo_header) > 0 &&
        headers.Find(expected.echo_header) != expected.echo_value) {
      return Reject(message_fault::kOtherRequest);
    }
    if (headers.Count("Keep-Alive") > 0) {
      keep_alive = std::string(headers.Find("Keep-Alive"));
    }
    return read_state::kComplete;
  }
};

reply_reader::reply_reader(expected_reply expected)
    : state_(std::make_unique<state>()) {
  state_->expected = std::move(expected);
  state_->ResetParser();
}

reply_reader::~reply_reader() = default;

read_state reply_reader::Consume(std::string_view bytes) {
  state& self = *state_;
  self.received_bytes += bytes.size();
  self.input += bytes;
  while (!self.input.empty()) {
    const std::size_t consumed = self.parser->Consume(self.input);
    self.input.erase(0, consumed);
    if (self.parser->Fault() != message_fault::kNone) {
      return self.Reject(self.parser->Fault());
    }
    if (!self.parser->is_done()) {
      if (consumed == 0) return read_state::kIncomplete;
      continue;
    }
    if (IsFinalStatus(self.parser->Message().status)) return self.Finish();
    if (++self.interim_count > kMaxInterimReplies) {
      return self.Reject(message_fault::kTooManyInterimReplies);
    }
    self.ResetParser();
  }
  return read_state::kIncomplete;
}

message_fault reply_reader::Fault() const { return state_->fault; }

std::size_t reply_reader::ReceivedBytes() const {
  return state_->received_bytes;
}

std::size_t reply_reader::Buffered() const {
  // Capacity is counted, since a string that grows by appending occupies up to
  // twice its size.
  return state_->input.capacity() + state_->parser->MemoryBytes();
}

read_state reply_reader::End() {
  state& self = *state_;
  boost::system::error_code error;
  if (!self.parser->is_header_done()) return read_state::kIncomplete;
  self.parser->put_eof(error);
  if (error || !self.parser->is_done()) return read_state::kIncomplete;
  return self.Finish();
}

backend_reply reply_reader::Release() {
  received_reply& received = state_->parser->Message();
  return {.sent = true,
          .received_bytes = state_->received_bytes,
          .status = received.status,
          .headers = received.headers.All(),
          .body = std::move(received.body)};
}

bool reply_reader::KeepsConnection() const {
  return state_->parser->keep_alive() && state_->parser->StatesItsEnd() &&
         state_->input.empty();
}

// Parses the seconds N from "timeout=N" in the Keep-Alive header.
std::optional<milliseconds> reply_reader::AdvertisedIdleTimeout() const {
  if (!state_->keep_alive) return std::nullopt;
  constexpr std::string_view kKey = "timeout=";
  const std::string_view text = *state_->keep_alive;
  const auto at = text.find(kKey);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(at + kKey.size());
  std::uint16_t seconds = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc()) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace basilhoist
