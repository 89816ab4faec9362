// A watch that hangs is found by what peers tell.
#include "basilhoist/knowledge/lead_tracker.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <optional>

namespace basilhoist {
namespace {

const instant kStart{std::chrono::seconds(100)};
constexpr peer_lead kAhead{.ours = 5, .theirs = 9};
constexpr peer_lead kLevel{.ours = 5, .theirs = 5, .same_content = true};

}  // namespace

// Incident inc-b7c5 of the grown quetzal site: the watches of most machines
// hung; the message of any peer that knew as little hid that others knew more,
// and servers that had left got work for five seconds.
BOOST_AUTO_TEST_CASE(PeersThatAreBehindHideNobodyWhoIsAhead) {
  lead_tracker tracker;
  BOOST_TEST(!tracker.OnPeer(kAhead, kStart));
  for (int ms = 10; ms <= 800; ms += 10) {
    BOOST_TEST(!tracker.OnPeer(kLevel, kStart + milliseconds(ms)));
  }
  BOOST_TEST(tracker.OnPeer(kLevel, kStart + milliseconds(810)));
  // The listing that follows gets its time, too.
  BOOST_TEST(!tracker.OnPeer(kAhead, kStart + milliseconds(820)));
}

// scale-2 of quetzal: a router that the store did not answer began its listing
// anew each second, so that none failed and nothing was taken from peers.
BOOST_AUTO_TEST_CASE(AListingUnderWayIsNotBegunAnew) {
  const feed_standing lists{.known = true, .healthy = true, .listing = true};
  BOOST_TEST((DecideOnLead(lists, true, true) == lead_action::kFetch));
  BOOST_TEST((DecideOnLead(lists, false, true) == lead_action::kNothing));
  const feed_standing watches{.known = true, .healthy = true};
  BOOST_TEST((DecideOnLead(watches, true, false) == lead_action::kNothing));
  BOOST_TEST((DecideOnLead(watches, true, true) == lead_action::kListAgain));
  const feed_standing fails{.known = true};
  BOOST_TEST((DecideOnLead(fails, true, false) == lead_action::kFetch));
  BOOST_TEST((DecideOnLead(fails, false, true) == lead_action::kNothing));
  BOOST_TEST((DecideOnLead({}, false, false) == lead_action::kFetch));
}

BOOST_AUTO_TEST_CASE(WhoDoesNotReadTheStoreTakesNewsFromPeersAtOnce) {
  const feed_standing follows{.known = true, .healthy = true, .reads = false};
  BOOST_TEST((DecideOnLead(follows, true, false) == lead_action::kFetch));
  BOOST_TEST((DecideOnLead(follows, false, false) == lead_action::kNothing));
  BOOST_TEST((DecideOnLead(follows, false, true) == lead_action::kNothing));
}

BOOST_AUTO_TEST_CASE(AWatchThatBringsTheChangeIsNotOverdue) {
  lead_tracker tracker;
  BOOST_TEST(!tracker.OnPeer(kAhead, kStart));
  const peer_lead caught_up{.ours = 9, .theirs = 9, .same_content = true};
  BOOST_TEST(!tracker.OnPeer(caught_up, kStart + milliseconds(900)));
  BOOST_TEST(!tracker.OnPeer(caught_up, kStart + milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(ARevisionWithoutAChangeIsNoLead) {
  lead_tracker tracker;
  const peer_lead same{.ours = 5, .theirs = 9, .same_content = true};
  BOOST_TEST(!tracker.OnPeer(same, kStart));
  BOOST_TEST(!tracker.OnPeer(same, kStart + milliseconds(5000)));
}

// However the messages of peers ahead, level and behind are mixed.
RC_BOOST_PROP(ALeadIsOverdueByTheFirstMessageAfterItsTime, ()) {
  lead_tracker tracker;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
  instant now = kStart;
  std::optional<instant> since;
  for (const int step : steps) {
    now = now + milliseconds(*rc::gen::inRange(1, 400));
    const peer_lead told{.ours = 5,
                         .theirs = static_cast<std::uint64_t>(4 + step),
                         .same_content = step < 2};
    if (told.Ahead() && !since) since = now;
    const bool due = since && now - *since > lead_tracker::kOverdue;
    RC_ASSERT(tracker.OnPeer(told, now) == due);
    if (due) since.reset();
  }
}

}  // namespace basilhoist
