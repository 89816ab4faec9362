// Tests the detection of a stalled store watch by the revisions of peers.
#include "basilhoist/knowledge/stalled_watch_detector.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <optional>

namespace basilhoist {
namespace {

const instant kStart{std::chrono::seconds(100)};
constexpr revision_comparison kAhead{.own = 5, .peer = 9};
constexpr revision_comparison kSameRevision{
    .own = 5, .peer = 5, .same_content = true};

}  // namespace

// The watches of most instances had stalled. Each report of a peer at the same
// revision cancelled the report of a peer that was ahead, so that the stalled
// watch was not detected and removed servers received requests for 5 s.
BOOST_AUTO_TEST_CASE(PeersAtTheSameRevisionDoNotCancelOneThatIsAhead) {
  stalled_watch_detector detector;
  BOOST_TEST(!detector.OnPeerRevision(kAhead, kStart));
  for (int ms = 10; ms <= 800; ms += 10) {
    BOOST_TEST(
        !detector.OnPeerRevision(kSameRevision, kStart + milliseconds(ms)));
  }
  BOOST_TEST(
      detector.OnPeerRevision(kSameRevision, kStart + milliseconds(810)));
  // The measurement starts again, so that the new listing has time to finish.
  BOOST_TEST(!detector.OnPeerRevision(kAhead, kStart + milliseconds(820)));
}

// A router that got no answer from the store restarted its listing each second.
// No listing timed out, so that nothing was fetched from peers either.
BOOST_AUTO_TEST_CASE(AListingInProgressIsNotRestarted) {
  const feed_condition listing{
      .has_snapshot = true, .healthy = true, .listing = true};
  BOOST_TEST(
      (ChooseCatchUp(listing, true, true) == catch_up_action::kFetchFromPeer));
  BOOST_TEST(
      (ChooseCatchUp(listing, false, true) == catch_up_action::kNothing));
  const feed_condition watching{.has_snapshot = true, .healthy = true};
  BOOST_TEST(
      (ChooseCatchUp(watching, true, false) == catch_up_action::kNothing));
  BOOST_TEST(
      (ChooseCatchUp(watching, true, true) == catch_up_action::kListAgain));
  const feed_condition failing{.has_snapshot = true};
  BOOST_TEST(
      (ChooseCatchUp(failing, true, false) == catch_up_action::kFetchFromPeer));
  BOOST_TEST(
      (ChooseCatchUp(failing, false, true) == catch_up_action::kNothing));
  BOOST_TEST(
      (ChooseCatchUp({}, false, false) == catch_up_action::kFetchFromPeer));
}

BOOST_AUTO_TEST_CASE(
    AnInstanceThatDoesNotFollowTheStoreFetchesFromPeersAtOnce) {
  const feed_condition follower{
      .has_snapshot = true, .healthy = true, .follows_store = false};
  BOOST_TEST((ChooseCatchUp(follower, true, false) ==
              catch_up_action::kFetchFromPeer));
  BOOST_TEST(
      (ChooseCatchUp(follower, false, false) == catch_up_action::kNothing));
  BOOST_TEST(
      (ChooseCatchUp(follower, false, true) == catch_up_action::kNothing));
}

BOOST_AUTO_TEST_CASE(AWatchThatDeliversTheChangeIsNotStalled) {
  stalled_watch_detector detector;
  BOOST_TEST(!detector.OnPeerRevision(kAhead, kStart));
  const revision_comparison caught_up{
      .own = 9, .peer = 9, .same_content = true};
  BOOST_TEST(!detector.OnPeerRevision(caught_up, kStart + milliseconds(900)));
  BOOST_TEST(!detector.OnPeerRevision(caught_up, kStart + milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(ANewerRevisionWithTheSameContentIsNotAhead) {
  stalled_watch_detector detector;
  const revision_comparison same{.own = 5, .peer = 9, .same_content = true};
  BOOST_TEST(!detector.OnPeerRevision(same, kStart));
  BOOST_TEST(!detector.OnPeerRevision(same, kStart + milliseconds(5000)));
}

// Holds for any sequence of reports from peers that are ahead, at the same
// revision and behind.
RC_BOOST_PROP(TheFirstReportAfterTheMaximumLagDetectsAStalledWatch, ()) {
  stalled_watch_detector detector;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
  instant now = kStart;
  std::optional<instant> since;
  for (const int step : steps) {
    now = now + milliseconds(*rc::gen::inRange(1, 400));
    const revision_comparison revisions{
        .own = 5,
        .peer = static_cast<std::uint64_t>(4 + step),
        .same_content = step < 2};
    if (revisions.PeerIsAhead() && !since) since = now;
    const bool due =
        since && now - *since > stalled_watch_detector::kMaxWatchLag;
    RC_ASSERT(detector.OnPeerRevision(revisions, now) == due);
    if (due) since.reset();
  }
}

}  // namespace basilhoist
