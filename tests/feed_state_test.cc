// The snapshot of one kind of objects while calls fail, are refused, and the
// store discards its history: it never returns to an earlier revision, and it
// becomes complete once calls succeed again.
#include "basilhoist/knowledge/feed_state.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace basilhoist {
namespace {

const instant kStart{std::chrono::seconds(100)};

// A store with the calls that a feed makes.
class fake_store {
 public:
  void Write(const std::string& name, int content) {
    ++revision_;
    objects_[name] = {.name = name, .revision = revision_, .content = content};
    history_.push_back({.changed = objects_[name]});
  }

  void Remove(const std::string& name) {
    if (objects_.erase(name) == 0) return;
    ++revision_;
    history_.push_back(
        {.changed = {.name = name, .revision = revision_}, .deleted = true});
  }

  void DropHistory() { oldest_ = revision_; }

  object_page Page(const std::string& after, std::size_t size) const {
    object_page page{.revision = revision_};
    for (auto each = objects_.upper_bound(after); each != objects_.end();
         ++each) {
      if (page.objects.size() == size) {
        page.has_more = true;
        break;
      }
      page.objects.push_back(each->second);
    }
    return page;
  }

  std::optional<object_events> Events(std::uint64_t since) const {
    if (since < oldest_) return std::nullopt;
    object_events events{.revision = revision_};
    for (const auto& each : history_) {
      if (each.changed.revision > since) events.events.push_back(each);
    }
    return events;
  }

  object_snapshot Snapshot() const {
    return {.revision = revision_, .objects = objects_};
  }

 private:
  std::map<std::string, object> objects_;
  std::vector<object_event> history_;
  std::uint64_t revision_ = 10;
  std::uint64_t oldest_ = 0;
};

// Makes the feed's next call and reports the store's answer.
// @param stale an earlier state of the store, which answers listings that
//   accept stale pages
void Answer(feed_state& feed, const fake_store& store, std::size_t page_size,
            const fake_store& stale) {
  const feed_step step = feed.Next();
  if (step.what == feed_step::action::kList) {
    const fake_store& source = step.may_be_stale ? stale : store;
    feed.OnPage(call_outcome::kOk, source.Page(step.after, page_size), kStart);
  } else if (const auto events = store.Events(step.revision)) {
    feed.OnEvents(call_outcome::kOk, *events, kStart);
  } else {
    feed.OnEvents(call_outcome::kHistoryGone, {}, kStart);
  }
}

void Answer(feed_state& feed, const fake_store& store, std::size_t page_size) {
  Answer(feed, store, page_size, store);
}

void Fail(feed_state& feed, call_outcome outcome) {
  if (feed.Next().what == feed_step::action::kList) {
    feed.OnPage(outcome, {}, kStart);
  } else {
    feed.OnEvents(outcome, {}, kStart);
  }
}

// Guards against a listing that begins anew for ever, without a delay, because
// the last entry of a page has no name that could be asked for.
BOOST_AUTO_TEST_CASE(APageThatEndsWithAnUnnamedEntryIsContinued) {
  feed_state feed;
  feed.OnPage(call_outcome::kOk,
              {.objects = {{.name = "a"}, {.name = "b"}, {.name = ""}},
               .has_more = true,
               .revision = 7},
              kStart);
  BOOST_TEST(feed.Next().after == "b");
  feed.OnPage(call_outcome::kOk,
              {.objects = {{.name = ""}, {.name = "d"}}, .revision = 7},
              kStart);
  BOOST_REQUIRE(feed.HasSnapshot());
  BOOST_TEST(feed.Snapshot().objects.size() == 3U);
  BOOST_TEST(!feed.Snapshot().objects.contains(""));
}

BOOST_AUTO_TEST_CASE(AListingThatDoesNotAdvanceIsDelayedOrEnds) {
  const object_page unnamed{
      .objects = {{.name = ""}}, .has_more = true, .revision = 7};
  feed_state starting;
  starting.OnPage(call_outcome::kOk, unnamed, kStart);
  // What can be read is better than nothing.
  BOOST_TEST(starting.HasSnapshot());
  feed_state running;
  running.OnPage(call_outcome::kOk,
                 {.objects = {{.name = "a"}, {.name = "b"}}, .revision = 7},
                 kStart);
  running.OnEvents(call_outcome::kHistoryGone, {}, kStart);
  running.OnPage(call_outcome::kOk, unnamed, kStart);
  BOOST_TEST(running.Snapshot().objects.size() == 2U);
  BOOST_TEST((running.Next().delay > milliseconds(0)));
}

RC_BOOST_PROP(RevisionNeverDecreasesAndSnapshotBecomesComplete, ()) {
  fake_store store;
  feed_state feed;
  std::uint64_t highest = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 11));
  object_snapshot peer_view;
  fake_store stale = store;
  for (const int step : steps) {
    const std::string name(1, static_cast<char>('a' + step % 4));
    switch (step) {
      case 0:
      case 1:
      case 2:
        store.Write(name, *rc::gen::inRange(0, 100));
        break;
      case 3:
        store.Remove("b");
        break;
      case 4:
        store.DropHistory();
        break;
      case 5:
        Fail(feed, call_outcome::kNotDone);
        break;
      case 6:
        Fail(feed, call_outcome::kUnknown);
        break;
      case 7:
        peer_view = store.Snapshot();
        feed.AdoptIfNewer({.snapshot = peer_view}, kStart);
        break;
      case 8:
        // The peer may have an older snapshot.
        feed.AdoptIfNewer({.snapshot = peer_view}, kStart);
        break;
      case 9:
        stale = store;
        break;
      default:
        Answer(feed, store, 2, stale);
    }
    RC_ASSERT(feed.Snapshot().revision >= highest);
    highest = feed.Snapshot().revision;
  }
  for (int i = 0; i < 12; ++i) Answer(feed, store, 2);
  RC_ASSERT(feed.Snapshot().objects == store.Snapshot().objects);
  RC_ASSERT(feed.Healthy());
}

BOOST_AUTO_TEST_CASE(WatchReportsChangesMadeBetweenTwoPages) {
  fake_store store;
  store.Write("a", 1);
  store.Write("b", 1);
  store.Write("c", 1);
  feed_state feed;
  Answer(feed, store, 2);
  store.Write("a", 2);
  Answer(feed, store, 2);
  BOOST_TEST(feed.Snapshot().objects.at("a").content == 1);
  Answer(feed, store, 2);
  BOOST_TEST(feed.Snapshot().objects.at("a").content == 2);
}

// The second page comes from a replica of the store with an older revision than
// the one that answered first.
BOOST_AUTO_TEST_CASE(WatchStartsAtTheOldestPage) {
  fake_store store;
  store.Write("a", 1);
  store.Write("b", 1);
  store.Write("c", 1);
  const fake_store stale = store;
  store.Write("c", 2);
  feed_state feed;
  BOOST_TEST(feed.Next().may_be_stale);
  Answer(feed, store, 2, store);
  Answer(feed, store, 2, stale);
  BOOST_TEST(feed.Snapshot().objects.at("c").content == 1);
  Answer(feed, store, 2, stale);
  BOOST_TEST(feed.Snapshot().objects.at("c").content == 2);
}

// A listing that is made because the watch may be stalled must be up to date.
BOOST_AUTO_TEST_CASE(OnlyTheFirstListingMayBeStale) {
  fake_store store;
  store.Write("a", 1);
  feed_state feed;
  Answer(feed, store, 9);
  feed.Relist();
  BOOST_TEST(!feed.Next().may_be_stale);
  feed.OnPage(call_outcome::kNotDone, {}, kStart);
  BOOST_TEST(!feed.Next().may_be_stale);
}

BOOST_AUTO_TEST_CASE(FailuresAreRetriedWithGrowingDelays) {
  feed_state feed;
  milliseconds previous{0};
  for (int i = 0; i < 6; ++i) {
    feed.OnPage(call_outcome::kNotDone, {}, kStart);
    const milliseconds delay = feed.Next().delay;
    BOOST_TEST((delay >= previous && delay <= feed_state::kMaxRetryDelay));
    previous = delay;
  }
  BOOST_TEST((previous == feed_state::kMaxRetryDelay));
  BOOST_TEST(!feed.Healthy());
  BOOST_TEST((feed.LastFailure() == kStart));
}

// A watch that starts while the store is silent gets no events afterwards.
// Readers that all started theirs together would learn of nothing until these
// end.
BOOST_AUTO_TEST_CASE(WatchesOfReadersEndInTurns) {
  const auto second = feed_state::kWatchSpacing;
  feed_state state;
  state.SetPlace({.readers = 4, .rank = 2});
  state.OnPage(call_outcome::kOk, {.revision = 5}, Now());
  BOOST_TEST((state.Next().wait == 3 * second));
  state.OnEvents(call_outcome::kOk, {.revision = 5}, Now());
  BOOST_TEST((state.Next().wait == 4 * second));
  state.OnEvents(call_outcome::kOk,
                 {.events = {{.changed = {.name = "a"}}}, .revision = 6},
                 Now());
  BOOST_TEST((state.Next().wait == 3 * second));
  state.OnEvents(call_outcome::kUnknown, {}, Now());
  BOOST_TEST((state.Next().wait == second));
  state.OnEvents(call_outcome::kOk, {.revision = 6}, Now());
  state.SetPlace({.readers = 200, .rank = 100});
  BOOST_TEST((state.Next().wait == feed_state::kMaxWatchWait));
}

BOOST_AUTO_TEST_CASE(RemovedObjectsHaveTheirFinalContent) {
  fake_store store;
  store.Write("a", 1);
  store.Write("b", 1);
  feed_state feed;
  Answer(feed, store, 9);
  store.Write("a", 2);
  store.Remove("a");
  store.Remove("b");
  store.Write("b", 3);
  Answer(feed, store, 9);
  BOOST_REQUIRE(feed.Removed().objects.size() == 1U);
  BOOST_TEST(feed.Removed().objects.at("a").content == 2);
  BOOST_TEST(feed.Snapshot().objects.at("b").content == 3);
  store.Write("c", 1);
  Answer(feed, store, 9);
  BOOST_TEST(feed.Removed().objects.empty());
}

BOOST_AUTO_TEST_CASE(RemovalsMayDateBackToThePreviousAnswer) {
  fake_store store;
  store.Write("a", 1);
  feed_state feed;
  feed.OnPage(call_outcome::kOk, store.Page({}, 9), kStart);
  feed.OnEvents(call_outcome::kNotDone, {}, kStart + milliseconds(100));
  feed.OnEvents(call_outcome::kOk, *store.Events(feed.Next().revision),
                kStart + milliseconds(900));
  BOOST_TEST((feed.RemovedSince() == kStart));
  feed.OnEvents(call_outcome::kOk, *store.Events(feed.Next().revision),
                kStart + milliseconds(1800));
  BOOST_TEST((feed.RemovedSince() == kStart + milliseconds(900)));
}

// Limits the calls that continuous changes cause. When 280 servers registered
// one after the other, a fixed batch delay cost each instance 13 calls.
BOOST_AUTO_TEST_CASE(ContinuousChangesIncreaseTheBatchDelay) {
  fake_store store;
  feed_state feed;
  Answer(feed, store, 9);
  instant now = kStart;
  int calls = 0;
  for (const instant end = now + milliseconds(4000); now < end;) {
    store.Write("a", calls++);
    feed.OnEvents(call_outcome::kOk, *store.Events(feed.Next().revision), now);
    BOOST_TEST((feed.Next().delay <= feed_state::kMaxBatchDelay));
    now = now + feed.Next().delay;
  }
  BOOST_TEST(calls <= 6);
  // After a pause in the changes, the next one is reported at once and the
  // batch delay is at its minimum again.
  now = now + milliseconds(5000);
  store.Write("a", 0);
  feed.OnEvents(call_outcome::kOk, *store.Events(feed.Next().revision), now);
  BOOST_TEST((feed.Next().delay == feed_state::kMinBatchDelay));
}

// An instance that got its snapshots from peers becomes a reader.
BOOST_AUTO_TEST_CASE(WatchAfterAPauseContinuesFromThePeerSnapshot) {
  fake_store store;
  store.Write("a", 1);
  feed_state feed;
  Answer(feed, store, 9);
  feed.OnEvents(call_outcome::kNotDone, {}, kStart);
  feed.Pause();
  store.Write("a", 2);
  BOOST_TEST(feed.AdoptIfNewer({.snapshot = store.Snapshot()}, kStart));
  BOOST_TEST(feed.Healthy());
  const feed_step next = feed.Next();
  BOOST_TEST((next.what == feed_step::action::kWatch));
  BOOST_TEST(next.revision == store.Snapshot().revision);
  BOOST_TEST((next.delay == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(WatchContinuesFromAPeerSnapshot) {
  fake_store store;
  store.Write("a", 1);
  feed_state feed;
  Answer(feed, store, 9);
  store.Write("a", 2);
  BOOST_TEST(feed.AdoptIfNewer({.snapshot = store.Snapshot()}, kStart));
  BOOST_TEST(feed.Next().revision == store.Snapshot().revision);
  BOOST_TEST(!feed.AdoptIfNewer({.snapshot = store.Snapshot()}, kStart));
}

}  // namespace
}  // namespace basilhoist
