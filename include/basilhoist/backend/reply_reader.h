// Incremental parser for one HTTP reply of a backend server.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "basilhoist/backend/backend_reply.h"
#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Properties of the request that decide how its reply is parsed and matched.
struct expected_reply {
  /// The reply to a HEAD request has no body, even if it has Content-Length.
  bool is_head_method = false;
  /// A reply that carries this header with a value other than echo_value
  /// belongs to another request and is rejected. Empty disables the check.
  std::string echo_header;
  std::string echo_value;
};

/// Progress of parsing.
enum class read_state : std::uint8_t {
  kIncomplete,  ///< More bytes are needed.
  kComplete,    ///< The whole reply was received.
  kInvalid,     ///< The bytes are not a reply to this request.
};

/// Parses bytes as they arrive and skips interim (1xx) replies.
class reply_reader {
 public:
  /// Servers send one or two interim replies before the final one. More than
  /// this number makes the reply invalid, since a server could otherwise send
  /// them without end.
  static constexpr int kMaxInterimReplies = 8;

  explicit reply_reader(expected_reply expected);
  ~reply_reader();
  reply_reader(const reply_reader&) = delete;
  reply_reader& operator=(const reply_reader&) = delete;

  /// Parses the next bytes.
  read_state Consume(std::string_view bytes);

  /// Handles an orderly close of the connection by the server.
  /// @return kComplete if the close marks the end of this reply, kInvalid if
  /// the
  ///   reply belongs to another request, else kIncomplete
  read_state End();

  /// @return why the bytes are no reply to this request, after kInvalid
  [[nodiscard]] message_fault Fault() const;

  /// @return number of bytes received so far, interim replies included
  [[nodiscard]] std::size_t ReceivedBytes() const;

  /// @return bytes of memory that the incomplete reply occupies
  [[nodiscard]] std::size_t Buffered() const;

  /// Moves the reply out. Call once, after kComplete.
  /// @return the reply
  backend_reply Release();

  /// Call only after kComplete.
  /// @return whether the connection may carry another request
  [[nodiscard]] bool KeepsConnection() const;

  /// @return the idle timeout from the Keep-Alive header, if there is one
  [[nodiscard]] std::optional<milliseconds> AdvertisedIdleTimeout() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
