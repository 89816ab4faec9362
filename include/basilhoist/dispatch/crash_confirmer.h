// Checks whether a server whose connection broke during a request still
// listens.
#pragma once

#include <array>
#include <functional>
#include <set>

#include "basilhoist/backend/request_sender.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// Checks every server that lost a send, so that a crash is confirmed even if
/// no further request is sent there.
class crash_confirmer {
 public:
  /// Delays of the checks after the loss. The second check detects a process
  /// that closed its connections before it stopped listening.
  static constexpr std::array<milliseconds, 2> kCheckDelays{milliseconds(0),
                                                            milliseconds(200)};

  /// @param on_refused called with a server whose address refuses connections
  crash_confirmer(event_loop& loop, request_sender& sender,
                  std::function<void(const listed_server_ptr&)> on_refused)
      : loop_(loop), sender_(sender), on_refused_(std::move(on_refused)) {}

  /// Called when a send to the server was lost.
  void OnLost(const listed_server_ptr& server);

 private:
  void Check(const listed_server_ptr& server, std::size_t number);

  event_loop& loop_;
  request_sender& sender_;
  std::function<void(const listed_server_ptr&)> on_refused_;
  std::set<std::uint64_t> checking_;  // keys of servers
};

}  // namespace basilhoist
