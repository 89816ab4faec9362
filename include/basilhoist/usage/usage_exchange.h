// Sends and receives the datagrams by which instances hold workspaces to their
// usage limits.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "basilhoist/loop/event_loop.h"
#include "basilhoist/usage/usage_limiter.h"

namespace basilhoist {

/// Connects a usage_limiter with the event loop and the network.
class usage_exchange {
 public:
  /// Minimum time between two rounds of datagrams, which bounds their number.
  static constexpr milliseconds kMinInterval{5};

  using send_function =
      std::function<void(const endpoint& to, const std::string& bytes)>;

  /// @param self address where this instance receives datagrams
  /// @param send sends one datagram
  usage_exchange(event_loop& loop, const endpoint& self, send_function send);

  void SetMembers(usage_members members);

  /// As usage_limiter::Admit.
  usage_decision Admit(const workspace& sender, std::uint64_t version,
                       microseconds patience);

  /// As usage_limiter::GiveBack.
  void GiveBack(const std::string& workspace_name);

  /// Handles a datagram of a peer.
  /// @return whether it is one about usage limits
  bool OnDatagram(std::string_view bytes);

  [[nodiscard]] const usage_limiter& Limiter() const { return limiter_; }

  /// @return bytes sent so far
  [[nodiscard]] std::uint64_t BytesSent() const { return bytes_sent_; }

 private:
  void Schedule();
  void SendRound();

  event_loop& loop_;
  send_function send_;
  usage_limiter limiter_;
  timer_id timer_ = 0;
  instant timer_at_;
  instant last_round_;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace basilhoist
