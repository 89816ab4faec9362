#include "basilhoist/knowledge/feed_state.h"

#include <algorithm>
#include <utility>

namespace basilhoist {
namespace {

// Returns the last name of a page, with which the next page is asked for; empty
// if no object of the page has a readable name.
std::string LastName(const object_page& page) {
  for (auto each = page.objects.rbegin(); each != page.objects.rend(); ++each) {
    if (!each->name.empty()) return each->name;
  }
  return {};
}

}  // namespace

feed_step feed_state::Next() const {
  feed_step step{.delay = batch_delay_};
  if (failures_ > 0) {
    const unsigned doublings = std::min(failures_ - 1, 8U);
    step.delay = std::min(kMaxRetryDelay, kMinRetryDelay * (1U << doublings));
  }
  if (listing_) {
    step.after = after_;
    // The watch that follows the first listing reports what a stale page lacks.
    step.may_be_stale = !has_snapshot_;
  } else {
    step.what = feed_step::action::kWatch;
    step.revision = snapshot_.revision;
    step.wait = WatchWait();
  }
  return step;
}

// A change ends the watches of all readers together; their ranks spread the
// next ones again. After a failure the store is probed by short watches.
milliseconds feed_state::WatchWait() const {
  if (failures_ > 0) return kWatchSpacing;
  const std::size_t turns = quiet_ ? place_.readers : place_.rank + 1;
  return std::min(kMaxWatchWait, kWatchSpacing * static_cast<int>(turns));
}

bool feed_state::OnPage(call_outcome outcome, const object_page& page,
                        instant now) {
  if (outcome != call_outcome::kOk) {
    OnFailure(now);
    return false;
  }
  if (page.era < snapshot_.era) {
    OnFailure(now);
    return false;
  }
  if (!listing_refused_) failures_ = 0;
  batch_delay_ = milliseconds(0);
  if (!after_.empty() && page.era != pages_.era) {
    after_.clear();  // Pages of two eras do not fit together.
    return false;
  }
  // The watch starts at the oldest page's revision, so that it also reports
  // changes made while the other pages were read.
  if (after_.empty()) pages_ = {.revision = page.revision, .era = page.era};
  pages_.revision = std::min(pages_.revision, page.revision);
  for (const object& each : page.objects) {
    if (!each.name.empty()) pages_.objects[each.name] = each;
  }
  if (page.has_more) {
    const std::string last = LastName(page);
    if (!last.empty() && last != after_) {
      after_ = last;
      return false;
    }
    // The next page cannot be asked for. Without a snapshot, the pages so far
    // are better than nothing.
    if (has_snapshot_) {
      OnFailure(now);
      return false;
    }
  }
  listing_ = false;
  after_.clear();
  // A store that lists an older state than is known, without a new era, is
  // asked again as after a failure.
  listing_refused_ = has_snapshot_ && pages_.Position() < snapshot_.Position();
  if (listing_refused_) {
    OnFailure(now);
    return false;
  }
  failures_ = 0;
  MarkCurrent(now);
  if (pages_.era > snapshot_.era) removed_since_ = now;
  return Commit(std::exchange(pages_, {}), now);
}

bool feed_state::OnEvents(call_outcome outcome, const object_events& events,
                          instant now) {
  if (outcome == call_outcome::kHistoryGone) {
    Relist();
    if (!listing_refused_) failures_ = 0;
    return false;
  }
  if (outcome != call_outcome::kOk) {
    OnFailure(now);
    return false;
  }
  if (events.era < snapshot_.era) {
    OnFailure(now);
    return false;
  }
  failures_ = 0;
  quiet_ = events.events.empty();
  // The revision that the watch started from has another content in this era.
  if (events.era > snapshot_.era) {
    Relist();
    return false;
  }
  if (events.events.empty()) {
    batch_delay_ = milliseconds(0);
  } else {
    UpdateBatchDelay(now);
  }
  if (events.revision < snapshot_.revision) return false;
  MarkCurrent(now);
  removed_ = {.revision = events.revision};
  for (const object_event& event : events.events) ApplyEvent(event);
  for (const auto& [name, last] : removed_.objects) {
    removals_.Add({.last = last,
                   .revision = events.revision,
                   .earliest_removal = removed_since_});
  }
  snapshot_.revision = events.revision;
  return !events.events.empty();
}

void feed_state::ApplyEvent(const object_event& event) {
  const std::string& name = event.changed.name;
  if (name.empty()) return;  // not readable
  if (!event.deleted) {
    const auto held = snapshot_.objects.find(name);
    if (!beliefs_.AcceptsChange(event.changed, held == snapshot_.objects.end()
                                                   ? nullptr
                                                   : &held->second)) {
      return;
    }
    snapshot_.objects[name] = event.changed;
    removed_.objects.erase(name);
    removals_.Erase(name);
    return;
  }
  beliefs_.OnRemoved(name);
  auto last = snapshot_.objects.extract(name);
  // A peer may hold an object that was created and removed between two answers
  // to this instance.
  removed_.objects[name] = last.empty() ? event.changed : last.mapped();
}

// If the store has been available since its previous answer, objects may have
// been removed at any time since then, including the batch delay. After an
// outage the time starts with this answer, because entries may have expired
// only for lack of the store.
void feed_state::MarkCurrent(instant now) {
  const instant previous = std::exchange(last_current_at_, now);
  removed_since_ = now - previous <= kMaxAnswerInterval ? previous : now;
}

// Changes are continuous if these arrived within one batch delay after the
// previous delay ended.
void feed_state::UpdateBatchDelay(instant now) {
  const bool continuous =
      batch_delay_.count() > 0 && now - last_change_ < 2 * batch_delay_;
  batch_delay_ =
      continuous ? std::min(kMaxBatchDelay, batch_delay_ * 2) : kMinBatchDelay;
  last_change_ = now;
}

bool feed_state::AdoptIfNewer(const peer_snapshot& received, instant now) {
  const std::uint64_t era = received.snapshot.era;
  const bool has_new_beliefs =
      received.beliefs_left > milliseconds(0) && beliefs_.MayJoin(era);
  if (has_snapshot_ && era == snapshot_.era && has_new_beliefs) {
    return JoinBeliefs(received, now);
  }
  if (has_snapshot_ && received.snapshot.Position() <= snapshot_.Position()) {
    return false;
  }
  removed_since_ = now;
  for (const removed_object& each : received.removed) {
    removed_since_ = std::min(removed_since_, each.earliest_removal);
  }
  if (!has_snapshot_) {
    beliefs_.Join(era, received.ended, received.beliefs_left, now);
  }
  peer_snapshot peer;
  peer.ended = received.ended;
  peer.kept = received.kept;
  peer.removed = received.removed;
  peer.changed = received.changed;
  if (received.changed) {
    // The snapshot is made of changes to the one held here, and so has the
    // objects that are kept here.
    for (const std::string& name : beliefs_.Kept()) {
      if (!received.changed->contains(name)) peer.kept.insert(name);
    }
  }
  if (!Commit(received.snapshot, now, peer)) return false;
  last_adopted_at_ = now;
  for (const removed_object& each : received.removed) {
    removed_.objects[each.last.name] = each.last;
  }
  return true;
}

// An instance that has started after the store came back does not know what was
// lost. It takes this from a peer, and the peer's state of each object where
// that is newer.
bool feed_state::JoinBeliefs(const peer_snapshot& received, instant now) {
  beliefs_.Join(snapshot_.era, received.ended, received.beliefs_left, now);
  restore_beliefs::object_map corrected = snapshot_.objects;
  std::set<std::string> kept = received.kept;
  for (const removed_object& each : removals_.Since(0)) {
    kept.erase(each.last.name);  // removed since the return
  }
  std::erase_if(kept, [this](const std::string& name) {
    return snapshot_.objects.contains(name);
  });
  for (const std::string& name : kept) {
    const auto theirs = received.snapshot.objects.find(name);
    if (theirs != received.snapshot.objects.end()) corrected.insert(*theirs);
  }
  beliefs_.CorrectListing(corrected, received.snapshot.objects, kept);
  const bool changed = corrected != snapshot_.objects;
  snapshot_.objects = std::move(corrected);
  removed_ = {};
  removed_since_ = now;
  return changed;
}

void feed_state::Pause() {
  if (has_snapshot_) listing_ = false;
  after_.clear();
  failures_ = 0;
  batch_delay_ = milliseconds(0);
}

void feed_state::Relist() {
  listing_ = true;
  quiet_ = false;
  after_.clear();
  batch_delay_ = milliseconds(0);
}

void feed_state::OnFailure(instant now) {
  ++failures_;
  quiet_ = false;
  last_failure_ = now;
  // The next listing starts over: pages read at different times are not
  // consistent.
  after_.clear();
}

bool feed_state::Commit(object_snapshot next, instant now,
                        const peer_snapshot& peer) {
  if (has_snapshot_ && next.Position() < snapshot_.Position()) return false;
  const bool new_era = has_snapshot_ && next.era > snapshot_.era;
  if (new_era) {
    std::vector<object> ended;
    for (const removed_object& each : removals_.Since(0)) {
      ended.push_back(each.last);
    }
    beliefs_.Begin(next.era, snapshot_.objects, ended, now);
  }
  if (has_snapshot_ && !new_era) {
    // What this instance has seen removed since the return stays so.
    for (const std::string& name : peer.kept) {
      if (!snapshot_.objects.contains(name)) next.objects.erase(name);
    }
  }
  beliefs_.AddEnded(peer.ended);
  beliefs_.CorrectListing(next.objects, snapshot_.objects, peer.kept);
  const bool changed = !has_snapshot_ || next.objects != snapshot_.objects;
  if (new_era) {
    // Revisions of the log are those of the former era.
    removals_.ResetTo(next.revision);
  } else {
    LogRemovals(next);
    // What a whole listing lacks may have existed since the last snapshot.
    if (!peer.changed) removals_.SetCompleteFrom(next.revision);
    for (const removed_object& each : peer.removed) {
      if (!snapshot_.objects.contains(each.last.name)) removals_.Add(each);
    }
  }
  snapshot_ = std::move(next);
  removed_ = {};
  has_snapshot_ = true;
  return changed;
}

void feed_state::LogRemovals(const object_snapshot& next) {
  if (!has_snapshot_) {
    removals_.ResetTo(next.revision);
    return;
  }
  for (const auto& [name, each] : next.objects) {
    if (!snapshot_.objects.contains(name)) removals_.Erase(name);
  }
  for (const auto& [name, last] : snapshot_.objects) {
    if (next.objects.contains(name)) continue;
    removals_.Add({.last = last,
                   .revision = next.revision,
                   .earliest_removal = removed_since_});
  }
}

}  // namespace basilhoist
