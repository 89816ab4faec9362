// Detects a store watch that has stalled, from the revisions that peers report.
#pragma once

#include <cstdint>

#include "basilhoist/base/clock.h"
#include "basilhoist/store/object.h"

namespace basilhoist {

/// Compares the revisions of one kind of objects here and at a peer.
struct revision_comparison {
  std::uint64_t own = 0;   ///< Revision of the snapshot held here.
  std::uint64_t peer = 0;  ///< Revision of the snapshot that the peer holds.
  bool same_content = false;
  std::uint64_t own_era = 0;
  std::uint64_t peer_era = 0;

  [[nodiscard]] store_position Own() const {
    return {.era = own_era, .revision = own};
  }
  [[nodiscard]] store_position Peer() const {
    return {.era = peer_era, .revision = peer};
  }
  /// In a newer era the same content counts as ahead too, since only the
  /// position tells what follows it.
  [[nodiscard]] bool PeerIsAhead() const {
    return Peer() > Own() && (!same_content || peer_era > own_era);
  }
};

/// Condition of this instance's own feed when a peer reports its revision.
struct feed_condition {
  bool has_snapshot = false;
  bool healthy = false;       ///< The store answered the last call.
  bool listing = false;       ///< A listing is in progress.
  bool follows_store = true;  ///< If false, the feed gets changes from peers.
};

/// What to do when a peer has reported its revision.
enum class catch_up_action : std::uint8_t {
  kNothing,
  kFetchFromPeer,  ///< Fetch the changes from the peer.
  kListAgain,      ///< The watch has stalled: list the objects in the store.
};

/// @param peer_ahead whether the peer holds a newer revision
/// @param watch_stalled result of stalled_watch_detector::OnPeerRevision
catch_up_action ChooseCatchUp(const feed_condition& own, bool peer_ahead,
                              bool watch_stalled);

/// Detects a stalled watch: the store answers other calls, but the watch does
/// not deliver changes that a peer has already received.
class stalled_watch_detector {
 public:
  /// The own watch may deliver a change up to this much later than a peer
  /// reports it.
  static constexpr milliseconds kMaxWatchLag{800};

  /// Records the revision that a peer reports. A peer that is not ahead does
  /// not cancel the report of one that is, because most peers may be as far
  /// behind as this instance.
  /// @return whether the watch has lagged behind some peer for longer than
  ///   kMaxWatchLag; the measurement then starts again
  bool OnPeerRevision(const revision_comparison& revisions, instant now);

 private:
  store_position ahead_;  // of a peer; the origin: no peer is ahead
  instant ahead_since_;
};

}  // namespace basilhoist
