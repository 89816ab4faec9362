// One HTTP/1.1 connection to a backend server, one request at a time.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "basilhoist/backend/request_sender.h"
#include "basilhoist/base/byte_budget.h"
#include "basilhoist/link/frame_link.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// Connects, sends, parses the reply, and can be used again after it.
class backend_connection {
 public:
  /// Time for a connection to stand. Servers take milliseconds for a new one;
  /// a lost opening packet would come again only after a second.
  static constexpr milliseconds kConnectTimeout{200};
  /// Idle time after which a connection is not used again, unless the server
  /// states a shorter one.
  static constexpr milliseconds kIdleTimeout{4000};
  /// Kept back from an idle timeout that the server states in whole seconds.
  static constexpr milliseconds kIdleMargin{500};

  /// Starts to connect.
  /// @param replies what all replies that are being read may use of memory
  /// @param on_closed called once when the connection ends, not inside Send
  ///   or Close
  backend_connection(event_loop& loop, const endpoint& to,
                     std::function<void()> on_closed, byte_budget& replies);
  ~backend_connection();
  backend_connection(const backend_connection&) = delete;
  backend_connection& operator=(const backend_connection&) = delete;

  /// Sends a request; only while Idle or before the first one.
  /// @param done called once, never from inside Send
  void Send(backend_request request, reply_handler done);

  /// Closes at once; neither handler runs.
  void Close();

  /// @return whether the next request may be sent
  [[nodiscard]] bool Idle(instant now) const;

  [[nodiscard]] bool Open() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
