#include "basilhoist/dispatch/hedge_policy.h"

#include <algorithm>

namespace basilhoist {
namespace {

// A server with this slowness answers later than a hedged send to another one,
// whether or not it replies to other requests.
constexpr double kSlowServer = 3;

}  // namespace

instant HedgeTime(const unanswered_send& send, instant now) {
  const bool busy =
      send.last_reply > send.sent_at && send.slowness < kSlowServer;
  return busy && now < send.latest_hedge ? send.latest_hedge : now;
}

bool IsWorthHedging(const replica_candidate& server) {
  return !server.health.stalled ||
         std::max(server.health.slowness, server.reported_slowness) <
             kSlowServer;
}

}  // namespace basilhoist
