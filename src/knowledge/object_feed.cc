#include "basilhoist/knowledge/object_feed.h"

#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {

object_feed::object_feed(event_loop& loop, object_store& store,
                         std::string kind,
                         std::function<void(const object_feed&)> on_change)
    : loop_(loop),
      store_(store),
      kind_(std::move(kind)),
      on_change_(std::move(on_change)) {}

void object_feed::Step() {
  if (!reads_store_ && state_.HasSnapshot()) {
    state_.Pause();
    return;
  }
  const feed_step step = state_.Next();
  if (step.delay.count() == 0) {
    Call(step);
    return;
  }
  timer_ = loop_.After(step.delay, [this] {
    timer_ = 0;
    if (reads_store_ || !state_.HasSnapshot()) Call(state_.Next());
  });
}

void object_feed::Call(const feed_step& step) {
  if (step.what == feed_step::action::kList) {
    call_ = store_.List(
        kind_, {.after = step.after, .may_be_stale = step.may_be_stale},
        [this](call_outcome outcome, const object_page& p) {
          const bool was_healthy = state_.Healthy();
          OnResult(was_healthy, state_.OnPage(outcome, p, Now()), outcome);
        });
    return;
  }
  call_ = store_.Watch(
      kind_, step.revision,
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
  if (changed) Changed();
  Step();
}

void object_feed::SetReadsStore(bool reads) {
  if (reads == reads_store_) return;
  reads_store_ = reads;
  if (reads) {
    if (call_ == 0 && timer_ == 0) Step();
    return;
  }
  if (!state_.HasSnapshot()) return;  // The first listing goes on.
  if (call_ != 0) store_.Abandon(call_);
  call_ = 0;
  state_.Pause();
}

void object_feed::AdoptIfNewer(const peer_snapshot& offered) {
  if (!state_.AdoptIfNewer(offered, Now())) return;
  event_line("feed", "taken_from_peer")
      .With("kind", kind_)
      .With("revision", offered.snapshot.revision);
  Changed();
  // A listing goes on, so that a store which does not answer is noticed.
  if (!reads_store_ || !state_.Listing()) Restart();
}

void object_feed::Relist() {
  state_.Relist();
  Restart();
}

// A watch that runs would report changes since a revision that is passed.
void object_feed::Restart() {
  if (call_ == 0) return;  // a timer is pending and asks for the next step
  store_.Abandon(call_);
  call_ = 0;
  loop_.Post([this] {
    if (call_ == 0 && timer_ == 0) Step();
  });
}

void object_feed::Changed() {
  digest_ = state_.Snapshot().Digest();
  on_change_(*this);
}

}  // namespace basilhoist
