// Checks whether a process listens at an address, without sending a request.
#pragma once

#include <cstdint>
#include <functional>

#include "basilhoist/link/frame_link.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// Result of an attempt to connect.
enum class listen_state : std::uint8_t {
  kListening,  ///< A connection was established; it is closed again.
  kRefused,    ///< The host refused the connection: no process listens.
  kUnknown,    ///< No response in time, or the host is unreachable.
};

/// One attempt to connect, limited to backend_connection::kConnectTimeout.
/// Destroying it cancels the attempt without calling the handler.
class listen_check {
 public:
  using handler = std::function<void(listen_state)>;

  /// @param done called once, never from inside the constructor
  listen_check(event_loop& loop, const endpoint& to, handler done);
  ~listen_check();
  listen_check(const listen_check&) = delete;
  listen_check& operator=(const listen_check&) = delete;

 private:
  void OnConnected();
  void End(listen_state result);
  void Close();

  event_loop& loop_;
  handler done_;
  fd_watch watch_;
  int fd_;
  timer_id timer_ = 0;
};

}  // namespace basilhoist
