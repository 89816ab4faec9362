#include "basilhoist/knowledge/stalled_watch_detector.h"

namespace basilhoist {

// A listing in progress is not restarted. If each report of a newer revision
// restarted it, it would never time out, and a store that does not answer would
// go undetected.
catch_up_action ChooseCatchUp(const feed_condition& own, bool peer_ahead,
                              bool watch_stalled) {
  const bool waits_for_store =
      !own.follows_store || !own.healthy || own.listing;
  if (!own.has_snapshot || (waits_for_store && peer_ahead)) {
    return catch_up_action::kFetchFromPeer;
  }
  if (watch_stalled && !waits_for_store) return catch_up_action::kListAgain;
  return catch_up_action::kNothing;
}

bool stalled_watch_detector::OnPeerRevision(
    const revision_comparison& revisions, instant now) {
  if (revisions.own >= ahead_revision_) ahead_revision_ = 0;
  if (ahead_revision_ == 0 && revisions.PeerIsAhead()) {
    ahead_revision_ = revisions.peer;
    ahead_since_ = now;
  }
  if (ahead_revision_ == 0 || now - ahead_since_ <= kMaxWatchLag) return false;
  ahead_revision_ = 0;
  return true;
}

}  // namespace basilhoist
