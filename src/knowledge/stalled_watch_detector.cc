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
  const store_position none;
  if (revisions.Own() >= ahead_) ahead_ = none;
  if (ahead_ == none && revisions.PeerIsAhead()) {
    ahead_ = revisions.Peer();
    ahead_since_ = now;
  }
  if (ahead_ == none || now - ahead_since_ <= kMaxWatchLag) return false;
  ahead_ = none;
  return true;
}

}  // namespace basilhoist
