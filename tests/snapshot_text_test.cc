// The text in which instances exchange snapshots, whole or as the changes since
// a revision.
#include "basilhoist/knowledge/snapshot_text.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace basilhoist {
namespace {

const instant kStart{std::chrono::seconds(100)};

// A feed that watches a store after an empty listing.
class watching_feed {
 public:
  explicit watching_feed(std::uint64_t revision) : revision_(revision) {
    feed_.OnPage(call_outcome::kOk, {.revision = revision_}, kStart);
  }

  void Write(const std::string& name, int content) {
    ReportEvent(
        {.changed = {
             .name = name, .revision = ++revision_, .content = content}});
  }

  void Remove(const std::string& name) {
    if (!feed_.Snapshot().objects.contains(name)) return;
    ReportEvent(
        {.changed = {.name = name, .revision = ++revision_}, .deleted = true});
  }

  const feed_state& Feed() const { return feed_; }
  std::uint64_t Revision() const { return revision_; }

 private:
  void ReportEvent(object_event event) {
    now_ = now_ + milliseconds(100);
    feed_.OnEvents(call_outcome::kOk,
                   {.events = {std::move(event)}, .revision = revision_}, now_);
  }

  feed_state feed_;
  std::uint64_t revision_;
  instant now_ = kStart;
};

}  // namespace

// The receiver asks for the changes since a random revision of the store's
// history. When the text arrives, its own snapshot has that revision or a later
// one.
RC_BOOST_PROP(ReceiverReconstructsTheWholeSnapshot, ()) {
  const auto writes = *rc::gen::container<std::vector<int>>(
      *rc::gen::inRange(0, 30), rc::gen::inRange(0, 12));
  const auto requested = *rc::gen::inRange<std::size_t>(0, writes.size() + 1);
  const auto held =
      *rc::gen::inRange<std::size_t>(requested, writes.size() + 1);
  const std::uint64_t first_revision = *rc::gen::inRange(0, 2) == 0 ? 0 : 7;
  watching_feed store(first_revision);
  std::uint64_t since = 0;
  object_snapshot base;
  for (std::size_t i = 0; i <= writes.size(); ++i) {
    if (i == requested) since = store.Revision();
    if (i == held) base = store.Feed().Snapshot();
    if (i == writes.size()) break;
    const std::string name(1, static_cast<char>('a' + writes[i] % 6));
    if (writes[i] < 9) {
      store.Write(name, writes[i]);
    } else {
      store.Remove(name);
    }
  }
  const auto read =
      ParseSnapshot(FormatSnapshot(store.Feed(), since, kStart), base, kStart);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->snapshot.objects == store.Feed().Snapshot().objects);
}

BOOST_AUTO_TEST_CASE(OnlyChangesAreSent) {
  watching_feed store(5);
  store.Write("a", 1);
  const std::uint64_t since = store.Revision();
  store.Write("b", 2);
  const std::string text = FormatSnapshot(store.Feed(), since, kStart);
  BOOST_TEST(text.find("\"content\":1") == std::string::npos);
  BOOST_TEST(text.find("\"content\":2") != std::string::npos);
}

// A server's drain and the removal of its entry arrive in one batch. An
// instance that gets the change from a peer must learn that the server drained,
// and the earliest time at which the entry can have been removed.
BOOST_AUTO_TEST_CASE(RemovedObjectsAreSentWithTheirFinalContent) {
  watching_feed store(5);
  store.Write("a", 1);
  const object_snapshot base = store.Feed().Snapshot();
  store.Write("a", 2);
  store.Remove("a");
  const instant later = kStart + milliseconds(2000);
  feed_state follower;
  follower.AdoptIfNewer({.snapshot = base}, kStart);
  const auto read = ParseSnapshot(
      FormatSnapshot(store.Feed(), base.revision, later), base, later);
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(follower.AdoptIfNewer(*read, later));
  BOOST_TEST(follower.Snapshot().objects.empty());
  BOOST_REQUIRE(follower.Removed().objects.contains("a"));
  BOOST_TEST(follower.Removed().objects.at("a").content == 2);
  BOOST_TEST((follower.RemovedSince() == kStart + milliseconds(200)));
  // The receiver can forward the removal.
  const auto again = ParseSnapshot(
      FormatSnapshot(follower, base.revision, later), base, later);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->snapshot.objects.empty());
  BOOST_TEST(again->removed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(WholeSnapshotIsSentIfRemovalsAreIncomplete) {
  watching_feed store(5);
  store.Write("kept", 0);
  store.Write("first", 0);
  const object_snapshot base = store.Feed().Snapshot();
  store.Remove("first");
  for (std::size_t i = 0; i < removal_log::kMaxRemovals; ++i) {
    const std::string name = "n" + std::to_string(i);
    store.Write(name, 1);
    store.Remove(name);
  }
  const auto read = ParseSnapshot(
      FormatSnapshot(store.Feed(), base.revision, kStart), base, kStart);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->snapshot.objects == store.Feed().Snapshot().objects));
}

BOOST_AUTO_TEST_CASE(BaseOlderThanTheChangesIsRejected) {
  watching_feed store(5);
  store.Write("a", 1);
  const auto now = store.Revision();
  const object_snapshot none{.revision = now - 1};
  BOOST_TEST(
      !ParseSnapshot(FormatSnapshot(store.Feed(), now, kStart), none, kStart)
           .has_value());
  BOOST_TEST(ParseSnapshot(FormatSnapshot(store.Feed(), 0, kStart), {}, kStart)
                 .has_value());
}

BOOST_AUTO_TEST_CASE(MalformedTextIsRejected) {
  for (const char* text :
       {"", "{", "[]", "{}", R"({"revision":1})",
        R"({"revision":1,"since":0,"objects":[1],"removed":[]})",
        R"({"revision":1,"since":0,"objects":[],"removed":[{"name":"a"}]})"}) {
    BOOST_TEST(!ParseSnapshot(text, {}, kStart).has_value());
  }
}

}  // namespace basilhoist
