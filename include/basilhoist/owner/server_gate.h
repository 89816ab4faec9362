// Decides what one backend server is given, and when. Pure: no sockets.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/base/verdict.h"
#include "basilhoist/link/messages.h"
#include "basilhoist/settings/site_settings.h"

namespace basilhoist {

/// A sub-request that waits for a slot.
struct gate_item {
  std::uint64_t id = 0;
  instant deadline;
  instant arrived;
  bool second_attempt = false;
};

/// Whether a sub-request was let into the queue.
struct admission {
  bool admitted = false;
  reason why = reason::kNone;
  std::uint32_t retry_after_ms = 0;

  bool operator==(const admission&) const = default;
};

/// How one attempt on a backend server ended.
enum class attempt_end : std::uint8_t {
  kAnswered,   ///< A whole reply arrived.
  kShed,       ///< The server said that it is overloaded and did not run it.
  kRefused,    ///< The connection was refused: nothing listens there.
  kLost,       ///< The connection broke; the server may still run it.
  kTimedOut,   ///< No reply although its deadline has passed.
  kCancelled,  ///< The server confirmed that it gave the request up.
  kUnsent,     ///< It never left this process.
};

/// Work that may be sent, and work that was given up, after a look.
struct gate_decision {
  std::vector<gate_item> send;
  std::vector<gate_item> drop;  ///< Could not finish before its deadline.
};

/// Guards the slots and the cold-start window of one backend server.
class server_gate {
 public:
  explicit server_gate(server_limits limits);

  /// Asks to queue a sub-request.
  admission Offer(const gate_item& item, instant now);

  /// Decides what to send now. What it returns counts as in flight.
  gate_decision Next(instant now);

  /// Takes an item that still waits out of the queue.
  /// @return whether it was there
  bool Withdraw(std::uint64_t id);

  /// @return every item that still waits; the queue is empty afterwards
  std::vector<gate_item> TakeQueue();

  /// Takes out the items that arrived before an instant.
  std::vector<gate_item> TakeWaiting(instant arrived_before);

  /// Takes new limits; the window never exceeds them.
  void SetLimits(server_limits limits);

  /// An attempt that was in flight has ended.
  /// @param took time on the server
  /// @param deadline the attempt's own, until which a lost one may still run
  /// @param incarnation as told by the reply; empty where there was none
  void OnEnd(attempt_end end, microseconds took, instant deadline,
             const std::string& incarnation, instant now);

  /// Starts afresh: nothing is known of the server.
  void Reset();

  /// @return the earliest instant after `now` at which Next may decide anew
  [[nodiscard]] instant WakeAt(instant now) const;

  [[nodiscard]] server_load Load(instant now) const;
  [[nodiscard]] std::uint32_t InFlight() const { return in_flight_; }

 private:
  void Close(instant now, bool failed);
  void OnSuccess(microseconds took, instant now);
  void DropDoubtful(instant now);
  [[nodiscard]] std::uint32_t Occupied() const;
  [[nodiscard]] microseconds ExpectedWait() const;

  server_limits limits_;
  std::uint32_t window_;
  std::uint32_t successes_ = 0;
  std::uint32_t in_flight_ = 0;
  std::uint32_t slow_in_a_row_ = 0;
  double service_us_ = 0;
  std::string incarnation_;
  instant heard_at_;         // the latest reply
  bool confirming_ = false;  // one request goes ahead after a quiet time
  instant closed_until_;
  microseconds probe_wait_{0};
  std::multimap<instant, gate_item> queue_;
  // Lost attempts that the server may still be running, by their deadline.
  std::vector<instant> doubtful_;
};

}  // namespace basilhoist
