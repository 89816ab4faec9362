#include "basilhoist/knowledge/start_catch_up.h"

namespace basilhoist {

// One snapshot of a kind is enough. Where objects change all the time, some
// peer is always ahead.
void start_catch_up::OnBehind(const std::string& kind, instant now) {
  if (fetched_.contains(kind)) return;
  if (behind_since_ == instant()) behind_since_ = now;
  behind_.insert(kind);
}

void start_catch_up::OnFetched(const std::string& kind) {
  fetched_.insert(kind);
  behind_.erase(kind);
}

bool start_catch_up::Done(bool knows_peers, bool heard_peer,
                          instant now) const {
  if (!heard_peer) return !knows_peers || now - started_at_ >= kMaxSilence;
  return behind_.empty() || now - behind_since_ >= kMaxWait;
}

}  // namespace basilhoist
