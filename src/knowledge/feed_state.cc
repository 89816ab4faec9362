#include "basilhoist/knowledge/feed_state.h"

#include <algorithm>
#include <utility>

namespace basilhoist {

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
  }
  return step;
}

bool feed_state::OnPage(call_outcome outcome, const object_page& page,
                        instant now) {
  if (outcome != call_outcome::kOk) {
    OnFailure(now);
    return false;
  }
  failures_ = 0;
  batch_delay_ = milliseconds(0);
  // The watch starts at the oldest page's revision, so that it also reports
  // changes made while the other pages were read.
  if (after_.empty()) pages_ = {.revision = page.revision};
  pages_.revision = std::min(pages_.revision, page.revision);
  for (const object& each : page.objects) pages_.objects[each.name] = each;
  if (page.has_more && !page.objects.empty()) {
    after_ = page.objects.back().name;
    return false;
  }
  listing_ = false;
  after_.clear();
  MarkCurrent(now);
  return Commit(std::exchange(pages_, {}));
}

bool feed_state::OnEvents(call_outcome outcome, const object_events& events,
                          instant now) {
  if (outcome == call_outcome::kHistoryGone) {
    Relist();
    failures_ = 0;
    return false;
  }
  if (outcome != call_outcome::kOk) {
    OnFailure(now);
    return false;
  }
  failures_ = 0;
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
  if (!event.deleted) {
    snapshot_.objects[name] = event.changed;
    removed_.objects.erase(name);
    removals_.Erase(name);
    return;
  }
  auto last = snapshot_.objects.extract(name);
  if (!last.empty()) removed_.objects[name] = std::move(last.mapped());
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
  if (has_snapshot_ && received.snapshot.revision <= snapshot_.revision)
    return false;
  removed_since_ = now;
  for (const removed_object& each : received.removed) {
    removed_since_ = std::min(removed_since_, each.earliest_removal);
  }
  if (!Commit(received.snapshot)) return false;
  for (const removed_object& each : received.removed) {
    removed_.objects[each.last.name] = each.last;
  }
  return true;
}

void feed_state::Pause() {
  if (has_snapshot_) listing_ = false;
  after_.clear();
  failures_ = 0;
  batch_delay_ = milliseconds(0);
}

void feed_state::Relist() {
  listing_ = true;
  after_.clear();
  batch_delay_ = milliseconds(0);
}

void feed_state::OnFailure(instant now) {
  ++failures_;
  last_failure_ = now;
  // The next listing starts over: pages read at different times are not
  // consistent.
  after_.clear();
}

bool feed_state::Commit(object_snapshot next) {
  if (has_snapshot_ && next.revision < snapshot_.revision) return false;
  const bool changed = !has_snapshot_ || next.objects != snapshot_.objects;
  LogRemovals(next);
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
