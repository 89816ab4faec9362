// Reads one reply from the bytes of a connection.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "basilhoist/backend/backend_reply.h"
#include "basilhoist/base/clock.h"

namespace basilhoist {

/// What is expected of a reply.
struct expected_reply {
  /// The reply to a HEAD request has no body, whatever its length says.
  bool is_head_method = false;
  /// A reply that carries this header with another value belongs to another
  /// request.
  std::string echo_header;
  std::string echo_value;
};

/// How far a reply has come.
enum class read_state : std::uint8_t {
  kIncomplete,  ///< More bytes are needed.
  kComplete,    ///< The reply is whole.
  kInvalid,     ///< The bytes are no reply to this request.
};

/// Takes bytes as they arrive; interim replies are skipped.
class reply_reader {
 public:
  /// Servers send one or two before a reply; one that goes on with them sends
  /// none.
  static constexpr int kMaxInterimReplies = 8;

  explicit reply_reader(expected_reply expected);
  ~reply_reader();
  reply_reader(const reply_reader&) = delete;
  reply_reader& operator=(const reply_reader&) = delete;

  /// Takes the next bytes.
  read_state Consume(std::string_view bytes);

  /// The connection has ended in an orderly way.
  /// @return kWhole if that is how this reply ends, else kMore
  read_state End();

  /// @return bytes of memory that a reply takes which is not whole
  [[nodiscard]] std::size_t Buffered() const;

  /// @return the reply; only once, when it is whole
  backend_reply Release();

  /// @return whether the connection may carry another request; only when the
  ///   reply is whole
  [[nodiscard]] bool KeepsConnection() const;

  /// @return the idle timeout that the server stated, if it did
  [[nodiscard]] std::optional<milliseconds> AdvertisedIdleTimeout() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
