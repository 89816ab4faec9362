// How recent calls of this instance to each service ended, and how many of its
// sends the service's servers had in progress.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "basilhoist/admission/decaying_sum.h"

namespace basilhoist {

/// Recent calls of one instance to one service.
struct service_load {
  double calls = 0;      ///< Weighted number of calls that ended.
  double answered = 1;   ///< Share of them that was answered in time.
  double in_flight = 0;  ///< Sends in flight, averaged over time.

  auto operator<=>(const service_load&) const = default;
};

/// Loads of all services, by the hash of the service.
class service_loads {
 public:
  /// Observations lose half of their weight in this time: long enough for some
  /// calls at a relay, short compared with a burst of 5 s.
  static constexpr milliseconds kHalfLife{600};

  /// @param in_time whether the call was answered before its objective
  void OnCallEnd(std::uint64_t service, bool in_time, instant now);

  /// Called when a server that replies has processed a send or still has it.
  /// @param duration how long the send has been in flight
  void OnSendEnd(std::uint64_t service, microseconds duration, instant now);

  [[nodiscard]] service_load LoadOf(std::uint64_t service, instant now) const;

  void Clear() { records_.clear(); }

 private:
  struct record {
    decaying_sum calls{kHalfLife};
    decaying_sum in_time{kHalfLife};
    decaying_sum send_seconds{kHalfLife};
  };

  std::unordered_map<std::uint64_t, record> records_;
};

}  // namespace basilhoist
