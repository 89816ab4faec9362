// Whether a server may be sent to now, and if not, why and until when.
#pragma once

#include <cstdint>
#include <string_view>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// What keeps requests from a server.
enum class send_bar : std::uint8_t {
  kNone,        ///< It may be sent to.
  kGone,        ///< It has left the list of servers.
  kDraining,    ///< Its entry says that it leaves.
  kEvacuated,   ///< Operators have cleared its failure domain.
  kLeaving,     ///< Its own answers say that it leaves.
  kAskedQuiet,  ///< It asked this instance to be left alone.
  kBroken,      ///< Its connections broke, or it had no room a moment ago.
  kCold,        ///< It has just started and has had its part for now.
  kNoRoom,      ///< All connections to it that this instance may have are busy.
};

/// One past the last bar, for counters.
inline constexpr std::size_t kSendBars = 9;

/// @return one short name for logs and metrics
std::string_view Name(send_bar value);

/// What is known of a server, from the store, from itself and from its
/// connections.
struct server_view {
  bool gone = false;
  bool draining = false;
  bool evacuated = false;
  bool leaving = false;
  instant quiet_until;
  instant broken_until;
  instant cold_until;  ///< When a cold server may get its next request.
  instant room_at;     ///< When a connection may be free.

  auto operator<=>(const server_view&) const = default;
};

/// The strongest bar, and when it ends.
struct send_verdict {
  send_bar bar = send_bar::kNone;
  /// When the bar ends by itself; a time that has passed where it does not.
  instant until;

  auto operator<=>(const send_verdict&) const = default;

  [[nodiscard]] bool Allowed() const { return bar == send_bar::kNone; }
  /// @return whether the server will take requests again
  [[nodiscard]] bool Passes(instant now) const { return until > now; }
};

/// Judges one server. Bars that do not end by themselves come first; among the
/// others the one that ends last.
send_verdict JudgeServer(const server_view& server, instant now);

}  // namespace basilhoist
