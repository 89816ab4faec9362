// Incremental parser for one HTTP request of a caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "basilhoist/http/header_block.h"
#include "basilhoist/http/message_limits.h"

namespace basilhoist {

/// A request as received.
struct received_request {
  std::string method;
  std::string target;
  bool is_http_1_0 = false;
  header_block headers;
  std::size_t head_bytes = 0;  ///< Size of the head on the wire.
  std::string body;
};

/// Progress of reading a request.
enum class request_progress : std::uint8_t {
  kHead,      ///< More bytes of the head are needed.
  kBody,      ///< The head is complete; more bytes of the body are needed.
  kComplete,  ///< The whole request was received.
  kInvalid,   ///< The bytes are not a request that is accepted; see Status().
};

/// Parses bytes as they arrive. A request whose length could be understood in
/// two ways is invalid.
class request_reader {
 public:
  explicit request_reader(message_limits limits);
  ~request_reader();
  request_reader(const request_reader&) = delete;
  request_reader& operator=(const request_reader&) = delete;

  /// Parses the next bytes, up to the end of the head or of the request.
  /// @return the number of bytes used; the others must be passed again,
  ///   followed by more
  std::size_t Consume(std::string_view bytes);

  [[nodiscard]] request_progress Progress() const;

  /// @return the status of the error reply to an invalid request
  [[nodiscard]] int Status() const;

  /// Changes the limit for the rest of the body.
  void SetMaxBodyBytes(std::size_t bytes);

  /// @return the request as far as it was received
  [[nodiscard]] const received_request& Request() const;

  /// Moves the request out. Call once, after kComplete.
  received_request Release();

  /// Call only after the head is complete.
  /// @return whether the caller wants to send further requests
  [[nodiscard]] bool KeepsConnection() const;

  /// @return the number of body bytes that are still to come, if the head
  ///   states their number; otherwise 0
  [[nodiscard]] std::size_t StatedBytesLeft() const;

  /// @return memory of the received head
  [[nodiscard]] std::size_t HeadBytes() const;

  /// @return memory of the received part of the body
  [[nodiscard]] std::size_t BodyBytes() const;

 private:
  class parser;
  std::unique_ptr<parser> parser_;
};

}  // namespace basilhoist
