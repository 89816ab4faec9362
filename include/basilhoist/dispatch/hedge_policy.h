// Decides when a request that is still unanswered is sent to a second server.
// Addresses servers that pause, turn silent or become several times slower
// while others are only busy.
#pragma once

#include "basilhoist/dispatch/replica_choice.h"

namespace basilhoist {

/// A send without a reply, and what is known of its server.
struct unanswered_send {
  instant sent_at;
  /// When the server last replied to any request of this instance.
  instant last_reply;
  /// Recent reply times of the server, as a multiple of the expected ones.
  double slowness = 1;
  /// Latest time at which a hedged send is likely to be answered in time.
  instant latest_hedge;

  auto operator<=>(const unanswered_send&) const = default;
};

/// Decides whether the hedged send is made now. A server that has replied to
/// other requests meanwhile is busy rather than paused, so it gets more time.
/// @param now a time at which the send is overdue
/// @return `now` to send, else when to decide again
instant HedgeTime(const unanswered_send& send, instant now);

/// @return whether a hedged send to the server is likely to be answered. A
///   server that has been silent for several sends and has one overdue now
///   would only cost retry budget.
bool IsWorthHedging(const replica_candidate& server);

}  // namespace basilhoist
