// How many requests of one group an entry works on at the same time.
#pragma once

#include <cstdint>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Finds the concurrency at which queues at backend servers stay short:
/// additive increase, multiplicative decrease.
class admission_limit {
 public:
  /// @param most the limit that settings give
  explicit admission_limit(std::uint32_t most);

  /// Takes a changed limit; requests in flight stay counted.
  void SetMost(std::uint32_t most);

  /// @return whether one more request may start; it is then counted
  bool Enter();

  /// A request ended.
  /// @param worst_wait longest time one of its parts stood in a queue
  /// @param target longest time that a part should stand in a queue
  /// @param refused whether a part was refused for lack of room
  void Leave(microseconds worst_wait, microseconds target, bool refused,
             instant now);

  /// @return requests that may be in flight now
  [[nodiscard]] std::uint32_t Limit() const;
  [[nodiscard]] std::uint32_t InFlight() const { return in_flight_; }

 private:
  double most_;
  double limit_;
  std::uint32_t in_flight_ = 0;
  instant last_decrease_;
};

}  // namespace basilhoist
