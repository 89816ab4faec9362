#include "basilhoist/knowledge/object_feed.h"

#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {

object_feed::object_feed(event_loop& loop, object_store& store,
                         std::string kind,
                         std::function<void(const object_feed&)> on_change,
                         restore_policy policy)
    : loop_(loop),
      store_(store),
      kind_(std::move(kind)),
      on_change_(std::move(on_change)),
      state_(std::move(policy)) {}

void object_feed::ScheduleNextCall() {
  if (!follows_store_ && state_.HasSnapshot()) {
    state_.Pause();
    return;
  }
  const feed_step step = state_.Next();
  if (step.delay.count() == 0) {
    StartCall(step);
    return;
  }
  timer_ = loop_.After(step.delay, [this] {
    timer_ = 0;
    if (follows_store_ || !state_.HasSnapshot()) StartCall(state_.Next());
  });
}

void object_feed::StartCall(const feed_step& step) {
  if (step.what == feed_step::action::kList) {
    call_ = store_.List(
        kind_, {.after = step.after, .may_be_stale = step.may_be_stale},
        [this](call_outcome outcome, const object_page& page) {
          const bool was_healthy = state_.Healthy();
          OnResult(was_healthy, state_.OnPage(outcome, page, Now()), outcome);
        });
    return;
  }
  call_ = store_.Watch(
      kind_, step.revision, step.wait,
      [this](call_outcome outcome, const object_events& events) {
        const bool was_healthy = state_.Healthy();
        OnResult(was_healthy, state_.OnEvents(outcome, events, Now()), outcome);
      });
}

void object_feed::OnResult(bool was_healthy, bool changed,
                           call_outcome outcome) {
  call_ = 0;
  if (state_.Healthy() != was_healthy) {
    event_line("feed", state_.Healthy() ? "store_regained" : "store_lost")
        .With("kind", kind_)
        .With("outcome", Name(outcome))
        .With("revision", state_.Snapshot().revision);
  }
  if (changed) NotifyChange();
  ScheduleNextCall();
}

void object_feed::SetFollowsStore(bool follows_store) {
  if (follows_store == follows_store_) return;
  follows_store_ = follows_store;
  if (follows_store) {
    if (call_ == 0 && timer_ == 0) ScheduleNextCall();
    return;
  }
  if (!state_.HasSnapshot()) return;  // The first listing continues.
  if (call_ != 0) store_.Abandon(call_);
  call_ = 0;
  state_.Pause();
}

void object_feed::AdoptIfNewer(const peer_snapshot& received) {
  if (!state_.AdoptIfNewer(received, Now())) return;
  event_line("feed", "taken_from_peer")
      .With("kind", kind_)
      .With("era", received.snapshot.era)
      .With("revision", received.snapshot.revision);
  NotifyChange();
  // A listing continues, so that a store that does not answer is detected.
  if (!follows_store_ || !state_.Listing()) RestartCall();
}

void object_feed::OnStoreEra(std::uint64_t era) {
  if (!follows_store_ || state_.Listing() || state_.Snapshot().era >= era) {
    return;
  }
  event_line("feed", "listing_in_new_era")
      .With("kind", kind_)
      .With("era", era)
      .With("held_era", state_.Snapshot().era)
      .With("held_revision", state_.Snapshot().revision);
  Relist();
}

void object_feed::ExpireBeliefs() {
  if (state_.ExpireBeliefs(Now())) NotifyChange();
}

void object_feed::Relist() {
  state_.Relist();
  RestartCall();
}

// The current watch would report changes since a revision that is now outdated.
void object_feed::RestartCall() {
  if (call_ == 0) return;  // A pending timer starts the next call.
  store_.Abandon(call_);
  call_ = 0;
  loop_.Post([this] {
    if (call_ == 0 && timer_ == 0) ScheduleNextCall();
  });
}

void object_feed::NotifyChange() {
  digest_ = state_.Snapshot().Digest();
  on_change_(*this);
}

}  // namespace basilhoist
