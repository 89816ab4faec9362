#include "basilhoist/backend/reply_reader.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <string>
#include <utility>

#include "basilhoist/http/status.h"

namespace basilhoist {
namespace {

namespace http = boost::beast::http;
using reply_parser = http::response_parser<http::string_body>;

// Shard results and records have a few kilobytes; a reply with a larger body or
// larger headers is rejected as invalid.
constexpr std::uint64_t kMaxBodyBytes = 16U << 20U;
constexpr std::uint32_t kMaxHeaderBytes = 64U << 10U;
constexpr int kSwitchingProtocols = 101;

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
  void ResetParser() {
    parser.emplace();
    parser->eager(true);
    parser->body_limit(kMaxBodyBytes);
    parser->header_limit(kMaxHeaderBytes);
    parser->skip(expected.is_head_method);
  }

  // Returns whether the head is that of a reply to a request: a final one, or
  // an interim one, which has no body of its own (RFC 9110, sections 8.6 and
  // 15.2). Requests ask for no other protocol, so 101 answers none of them.
  [[nodiscard]] bool HasValidHead() const {
    const auto& message = parser->get();
    const int status = static_cast<int>(message.result_int());
    if (KindOfStatus(status) != status_kind::kInterim) {
      return IsFinalStatus(status);
    }
    return status != kSwitchingProtocols &&
           message.count(http::field::content_length) == 0 &&
           message.count(http::field::transfer_encoding) == 0;
  }

  read_state Reject(message_fault why) {
    fault = why;
    return read_state::kInvalid;
  }

  static message_fault FaultOf(const boost::system::error_code& error) {
    if (error == http::error::header_limit) return message_fault::kHeadTooLarge;
    if (error == http::error::body_limit) return message_fault::kBodyTooLarge;
    if (error == http::error::bad_version) {
      return message_fault::kUnsupportedVersion;
    }
    return message_fault::kMalformed;
  }

  // Rejects a reply to another request and stores the Keep-Alive header.
  read_state Finish() {
    const auto& message = parser->get();
    const auto echo = message.find(expected.echo_header);
    if (!expected.echo_header.empty() && echo != message.end() &&
        echo->value() != expected.echo_value) {
      return Reject(message_fault::kOtherRequest);
    }
    const auto idle = message.find(http::field::keep_alive);
    if (idle != message.end()) keep_alive = std::string(idle->value());
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
    boost::system::error_code error;
    const std::size_t consumed =
        self.parser->put(boost::asio::buffer(self.input), error);
    self.input.erase(0, consumed);
    if (self.parser->is_header_done() && !self.HasValidHead()) {
      return self.Reject(message_fault::kInvalidStatus);
    }
    if (error == http::error::need_more) {
      if (consumed == 0) return read_state::kIncomplete;
      continue;
    }
    if (error) return self.Reject(state::FaultOf(error));
    if (!self.parser->is_done()) {
      if (consumed == 0) return read_state::kIncomplete;
      continue;
    }
    if (IsFinalStatus(static_cast<int>(self.parser->get().result_int()))) {
      return self.Finish();
    }
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
  return state_->input.capacity() + state_->parser->get().body().capacity();
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
  auto message = state_->parser->release();
  backend_reply reply{.sent = true,
                      .received_bytes = state_->received_bytes,
                      .status = static_cast<int>(message.result_int())};
  for (const auto& field : message) {
    reply.headers.push_back({.name = std::string(field.name_string()),
                             .value = std::string(field.value())});
  }
  reply.body = std::move(message.body());
  return reply;
}

bool reply_reader::KeepsConnection() const {
  const auto& message = state_->parser->get();
  return message.keep_alive() && !message.need_eof() && state_->input.empty();
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
