// Incremental HTTP/1.1 parser with limits on the whole message.
#pragma once

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "basilhoist/http/message_fault.h"
#include "basilhoist/http/message_limits.h"

namespace basilhoist {

/// Stores a message as far as it was received. Beast's own limits hold for the
/// bytes of one call only, so a peer that cuts its message into pieces would
/// pass them; the limits here hold for the sum of all pieces.
///
/// Trailer fields are dropped, since as header fields they could change the
/// meaning of the message.
///
/// @tparam message has the members headers (header_block), head_bytes and body
template <bool is_request, typename message>
class message_parser : public boost::beast::http::basic_parser<is_request> {
 public:
  /// Limit on a chunk's size line, and on the trailer section. Chunk extensions
  /// are not used in practice.
  static constexpr std::size_t kMaxChunkHeadBytes = 8192;

  explicit message_parser(message_limits limits) : limits_(limits) {
    // One byte more, so that a head of the maximum size is still parsed.
    this->header_limit(static_cast<std::uint32_t>(limits.max_head_bytes) + 1);
    this->body_limit(boost::none);
    this->eager(false);
  }

  /// Parses the next bytes, up to the end of the head or of the message.
  /// @return the number of bytes used; the others must be passed again,
  ///   followed by more
  std::size_t Consume(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size() && fault_ == message_fault::kNone &&
           !this->is_done()) {
      const bool in_head = !this->is_header_done();
      error_code error;
      const std::size_t parsed =
          this->put({bytes.data() + used, bytes.size() - used}, error);
      used += parsed;
      if (in_head) message_.head_bytes += parsed;
      if (!error || error == boost::beast::http::error::need_more) {
        CheckSizes(bytes.size() - used);
      } else if (fault_ == message_fault::kNone) {
        fault_ = FaultOf(error);
      }
      if (in_head && this->is_header_done()) {
        this->eager(true);
        break;
      }
      if (error || parsed == 0) break;
    }
    return used;
  }

  [[nodiscard]] message_fault Fault() const { return fault_; }

  /// Changes the limit for the rest of the body.
  void SetMaxBodyBytes(std::size_t bytes) { limits_.max_body_bytes = bytes; }

  [[nodiscard]] message& Message() { return message_; }
  [[nodiscard]] const message& Message() const { return message_; }

  /// @return memory of the received head and body
  [[nodiscard]] std::size_t MemoryBytes() const {
    return message_.headers.Bytes() + message_.body.capacity();
  }

 protected:
  using error_code = boost::system::error_code;
  using string_view = boost::beast::string_view;

  /// Checks a head as soon as it is complete.
  /// @return why the message is rejected, or kNone
  [[nodiscard]] virtual message_fault CheckHead() const = 0;

 private:
  // First size of a body's buffer. A body of stated length does not get its
  // memory in advance, since its bytes may never come.
  static constexpr std::size_t kFirstBodyBytes = 4096;

  static message_fault FaultOf(const error_code& error) {
    namespace http = boost::beast::http;
    if (error == http::error::header_limit) return message_fault::kHeadTooLarge;
    if (error == http::error::bad_version) {
      return message_fault::kUnsupportedVersion;
    }
    return message_fault::kMalformed;
  }

  // What Beast leaves unused is the start of a line or of the trailer section.
  void CheckSizes(std::size_t unused) {
    const std::size_t head =
        message_.head_bytes + (this->is_header_done() ? 0 : unused);
    if (head > limits_.max_head_bytes) {
      fault_ = message_fault::kHeadTooLarge;
    } else if (this->is_header_done() && this->chunked() && !this->is_done() &&
               unused > kMaxChunkHeadBytes) {
      fault_ = message_fault::kChunkHeadTooLarge;
    }
  }

  // Any error ends Beast's parsing; the fault says which one it is.
  void Reject(message_fault fault, error_code& error) {
    fault_ = fault;
    error = boost::beast::http::error::bad_value;
  }

  void on_field_impl(boost::beast::http::field, string_view name,
                     string_view value, error_code&) override {
    if (!this->is_header_done()) message_.headers.Add(name, value);
  }

  void on_header_impl(error_code& error) override {
    message_fault fault = CheckHead();
    // A message that is done has no body, whatever length it states.
    if (fault == message_fault::kNone && !this->is_done() &&
        this->content_length().value_or(0) > limits_.max_body_bytes) {
      fault = message_fault::kBodyTooLarge;
    }
    if (fault != message_fault::kNone) Reject(fault, error);
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code&) override {}

  std::size_t on_body_impl(string_view bytes, error_code& error) override {
    return Append(bytes, error);
  }

  void on_chunk_header_impl(std::uint64_t size, string_view,
                            error_code& error) override {
    if (size > limits_.max_body_bytes -
                   std::min(limits_.max_body_bytes, message_.body.size())) {
      Reject(message_fault::kBodyTooLarge, error);
    }
  }

  std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes,
                                 error_code& error) override {
    return Append(bytes, error);
  }

  void on_finish_impl(error_code&) override {}

  std::size_t Append(std::string_view bytes, error_code& error) {
    std::string& body = message_.body;
    const std::size_t size = body.size() + bytes.size();
    if (size > limits_.max_body_bytes) {
      Reject(message_fault::kBodyTooLarge, error);
      return 0;
    }
    if (size > body.capacity()) Grow(size);
    body += bytes;
    return bytes.size();
  }

  // std::string grows to twice its capacity at least, which may be far beyond
  // the end of the body.
  void Grow(std::size_t size) {
    std::string& body = message_.body;
    const std::size_t end =
        this->content_length().value_or(limits_.max_body_bytes);
    const std::size_t wanted =
        std::max({size, 2 * body.capacity(), kFirstBodyBytes});
    std::string larger;
    larger.reserve(std::min(wanted, std::max(end, size)));
    larger += body;
    body = std::move(larger);
  }

  message_limits limits_;
  message message_;
  message_fault fault_ = message_fault::kNone;
};

}  // namespace basilhoist
