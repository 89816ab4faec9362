// Framed messages over TCP between two instances.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "basilhoist/base/byte_budget.h"
#include "basilhoist/base/endpoint.h"
#include "basilhoist/link/messages.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// One connected socket that carries frames both ways.
class frame_link : public std::enable_shared_from_this<frame_link> {
 public:
  using frame_handler = std::function<void(frame_kind, std::string_view)>;

  /// @param loop the loop; must outlive the link
  /// @param fd a socket, connected or connecting; owned from here on
  frame_link(event_loop& loop, int fd);
  ~frame_link();
  frame_link(const frame_link&) = delete;
  frame_link& operator=(const frame_link&) = delete;

  /// Starts reading.
  /// @param on_frame called for each whole frame
  /// @param on_closed called once, when the link breaks
  void Open(frame_handler on_frame, std::function<void()> on_closed);

  /// Sends a frame; dropped when the link is closed.
  void Send(frame_kind kind, const std::string& payload);

  /// Counts what waits to be sent or is not whole yet with other links; the
  /// link breaks when that is more than the budget allows.
  void ShareMemory(std::shared_ptr<byte_budget> budget);

  /// Delays what is sent from now on, to stand for distance in experiments.
  void SetDelay(microseconds delay);

  /// Closes the socket; on_closed does not run.
  void Close();

  /// As Close, but on_closed runs.
  void Break();

  /// As Close, but drops what the peer has not received yet.
  void Abort();

  [[nodiscard]] bool IsOpen() const;

  /// @return since when the peer has not sent, or not taken, a frame as a
  ///   whole; nothing if it keeps nothing waiting
  [[nodiscard]] std::optional<instant> WaitingSince() const;

  /// @return when the last whole frame was received; at first, when the link
  ///   was made
  [[nodiscard]] instant LastFrameAt() const;

  /// @return whether the operating system has not taken all sent frames yet
  [[nodiscard]] bool HasUnsentBytes() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Starts to connect to a peer.
/// @param from the IP number to send from; empty for any
/// @return a socket, or -1
int ConnectSocket(const std::string& from, const endpoint& to);

/// Makes the next close of a socket reset the connection, so that the kernel
/// does not deliver bytes that are still unsent.
void DropUnsentBytes(int fd);

/// Listens for links of peers.
class link_listener {
 public:
  using accept_handler = std::function<void(std::shared_ptr<frame_link>)>;

  link_listener(event_loop& loop, const endpoint& where,
                accept_handler on_link);
  ~link_listener();
  link_listener(const link_listener&) = delete;
  link_listener& operator=(const link_listener&) = delete;

  [[nodiscard]] bool Listening() const { return fd_ >= 0; }

 private:
  void Pause();

  event_loop& loop_;
  accept_handler on_link_;
  int fd_ = -1;
  fd_watch watch_;
  timer_id pause_timer_ = 0;
};

}  // namespace basilhoist
