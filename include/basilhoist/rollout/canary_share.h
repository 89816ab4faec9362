// Decides which of an instance's requests a new version gets while it is being
// judged. Each instance spends a share of its own requests, so that the sum
// over all instances needs no messages.
#pragma once

#include <cstddef>
#include <cstdint>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// The share of one order at one instance.
class canary_share {
 public:
  /// Requests are spent in pulses, so that a server of the new version is as
  /// busy in them as those of the old one: some faults show only under load.
  static constexpr milliseconds kPulsePeriod{1500};
  static constexpr milliseconds kPulse{500};
  /// Requests that are kept for the next pulse.
  static constexpr double kMaxKept = 4;

  /// @param share of this instance's requests, 0 to 1
  /// @param chance uniform in 0 to 1; rounds the shares of instances with few
  ///   requests so that their sum is right on average
  canary_share(double share, double chance) : share_(share), kept_(chance) {}

  /// Adds requests that need not be earned by a share.
  void AddSlack(double requests) { kept_ += requests; }

  /// Called when a request for the service begins at this instance.
  void OnRequest();

  /// @param age of the order
  /// @return whether a request may go to the new version now
  [[nodiscard]] bool Allows(microseconds age) const;

  /// Called when a request is sent to the new version.
  void OnSent() { kept_ -= 1; }

  /// @return the position, among `servers` ones, of the one that gets the
  ///   requests of the current pulse; the same on all instances
  [[nodiscard]] static std::size_t ServerOfPulse(std::uint64_t order,
                                                 microseconds age,
                                                 std::size_t servers);

 private:
  double share_;
  double kept_;
};

}  // namespace basilhoist
