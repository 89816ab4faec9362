#include "basilhoist/knowledge/lead_tracker.h"

namespace basilhoist {

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
