// One HTTP/1.1 connection to a backend server.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "basilhoist/backend/request_sender.h"
#include "basilhoist/base/byte_budget.h"
#include "basilhoist/link/frame_link.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// Sends requests one at a time, without pipelining, and keeps the connection
/// alive between them.
class backend_connection {
 public:
  /// Time limit for establishing a connection. Servers accept one within
  /// milliseconds; a lost SYN packet is retransmitted only after a second.
  static constexpr milliseconds kConnectTimeout{200};
  /// Idle time after which a connection is not reused, unless the server
  /// advertises a shorter one.
  static constexpr milliseconds kIdleTimeout{4000};
  /// Subtracted from the idle timeout that the server advertises, which is in
  /// whole seconds.
  static constexpr milliseconds kIdleMargin{500};

  /// Starts to connect.
  /// @param on_closed called once when the connection ends, never from inside
  ///   Send or Close
  /// @param reply_budget memory shared by all replies that are being received
  backend_connection(event_loop& loop, const endpoint& to,
                     std::function<void()> on_closed,
                     byte_budget& reply_budget);
  ~backend_connection();
  backend_connection(const backend_connection&) = delete;
  backend_connection& operator=(const backend_connection&) = delete;

  /// Sends a request. Allowed while Idle, and once while still connecting: the
  /// first request is then written when the connection is established.
  /// @param done called once, never from inside Send
  void Send(backend_request request, reply_handler done);

  /// Closes the connection immediately; neither handler is called.
  void Close();

  /// @return whether the next request may be sent: the connection is
  /// established,
  ///   carries no request, and its idle timeout has not passed
  [[nodiscard]] bool Idle(instant now) const;

  /// @return whether the connection is established or being established
  [[nodiscard]] bool Open() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
