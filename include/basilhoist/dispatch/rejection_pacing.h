// Decides when a call tries a server again that rejected its request. Addresses
// servers that reject a part of their requests for seconds: a rejected request
// has not run, so another attempt at the same server may succeed.
#pragma once

#include <optional>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// State of a call after a server rejected its request.
struct rejected_call {
  /// Share of recent sends that the server accepted, 0 to 1.
  double acceptance = 1;
  /// Sends that the server rejected since it last accepted one.
  unsigned rejections_in_a_row = 0;
  /// Time in which the server is expected to answer an accepted request.
  microseconds reply_time{0};
  /// Time until the answer should be there.
  microseconds objective_left{0};
  /// Time until the call ends at the latest.
  microseconds deadline_left{0};

  auto operator<=>(const rejected_call&) const = default;
};

/// Spaces the attempts at the server so that nearly all calls are accepted
/// before the time left is over: until the objective, or until the deadline if
/// no reply can meet the objective any more.
/// @return the delay before the next attempt; nothing if it would end too late
std::optional<microseconds> DelayAfterRejection(const rejected_call& call);

/// @return the chance, 0 to 1, that the server accepts one of the attempts that
///   are left before the objective
double ChanceOfAcceptance(const rejected_call& call);

}  // namespace basilhoist
