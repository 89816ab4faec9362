#include "basilhoist/knowledge/lead_tracker.h"

namespace basilhoist {

// A listing that is begun anew with each lead never fails, and a store that
// does not answer would never be noticed.
lead_action DecideOnLead(const feed_standing& own, bool ahead, bool overdue) {
  const bool waits_for_store = !own.reads || !own.healthy || own.listing;
  if (!own.known || (waits_for_store && ahead)) return lead_action::kFetch;
  if (overdue && !waits_for_store) return lead_action::kListAgain;
  return lead_action::kNothing;
}

bool lead_tracker::OnPeer(const peer_lead& told, instant now) {
  if (told.ours >= lead_) lead_ = 0;
  if (lead_ == 0 && told.Ahead()) {
    lead_ = told.theirs;
    since_ = now;
  }
  if (lead_ == 0 || now - since_ <= kOverdue) return false;
  lead_ = 0;
  return true;
}

}  // namespace basilhoist
