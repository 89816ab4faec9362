// Decides whether a request may be sent to a backend server now and, if not,
// why and until when.
#pragma once

#include <cstdint>
#include <string_view>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Reason why no request may be sent to a server.
enum class send_block : std::uint8_t {
  kNone,              ///< Requests may be sent.
  kRemoved,           ///< The server is no longer in the list of servers.
  kDraining,          ///< Its entry in the list is marked as draining.
  kEvacuated,         ///< Operators have evacuated its failure domain.
  kShuttingDown,      ///< Its own replies announce that it is shutting down.
  kPauseRequested,    ///< It asked this instance for a pause.
  kAvoided,           ///< Its connections broke or it shed load recently.
  kRateLimited,       ///< It advertises a rate limit, and this instance's share
                      ///< is used up.
  kColdStart,         ///< It is in a cold start and its send rate is used up.
  kNoFreeConnection,  ///< All connections that this instance may open to it are
                      ///< busy.
  kPaced,  ///< It starts or recovers, and its share of this instance's requests
           ///< is used up. It may be used if no other server can be.
  kVersionHeld,  ///< Its version must not be used, or not by this request.
};

/// Number of enumerators of send_block, for arrays of counters.
inline constexpr std::size_t kSendBlockCount = 12;

/// Returns the short name used in logs and metrics.
std::string_view Name(send_block value);

/// What is known about a server from the store, from its own replies and from
/// its connections. A time that has passed does not block.
struct server_condition {
  bool removed = false;
  bool draining = false;
  bool evacuated = false;
  bool shutting_down = false;
  bool version_held = false;
  instant paused_until;
  instant avoid_until;
  /// When a server with a rate limit may get its next request from here.
  instant rate_limited_until;
  /// When a server in its cold start may get its next request.
  instant cold_limited_until;
  instant connection_free_at;  ///< Estimate of when a connection is free.
  /// When a server that starts or recovers may get its next request from here.
  instant paced_until;

  auto operator<=>(const server_condition&) const = default;
};

/// The block that applies to a server, and when it ends.
struct send_decision {
  send_block block = send_block::kNone;
  /// When the block ends by itself; a time in the past if it does not.
  instant until;

  auto operator<=>(const send_decision&) const = default;

  [[nodiscard]] bool Allowed() const { return block == send_block::kNone; }
  /// Returns whether requests may be sent if no other server can take them.
  [[nodiscard]] bool AllowedAsLastResort() const {
    return Allowed() || block == send_block::kPaced;
  }
  /// Returns whether the block ends by itself.
  [[nodiscard]] bool IsTemporary(instant now) const { return until > now; }
};

/// Returns the block that applies to a server. Permanent blocks take precedence
/// over temporary ones; among temporary blocks the one that ends last applies.
/// kPaced applies only if no other block does, since it is not strict.
send_decision EvaluateServer(const server_condition& server, instant now);

}  // namespace basilhoist
