// How a router ends: nothing that was taken is cut.
#include "basilhoist/router/stop_policy.h"

#include <boost/test/unit_test.hpp>

namespace basilhoist {
namespace {

constexpr milliseconds kGrace{6000};
const instant kAsked{std::chrono::seconds(100)};

stop_step At(stop_policy& policy, int ms, std::size_t in_flight) {
  return policy.Next(in_flight, kAsked + milliseconds(ms));
}

BOOST_AUTO_TEST_CASE(TakesConnectionsUntilTheBalancerKnows) {
  stop_policy policy(kAsked, kGrace);
  BOOST_TEST((At(policy, 0, 0) == stop_step::kServe));
  BOOST_TEST((At(policy, 2990, 0) == stop_step::kServe));
  BOOST_TEST((At(policy, 3010, 1) == stop_step::kRefuse));
}

// Replays hunt-1ec9-19 (saobang): the last request of a router that stops was
// answered 60 ms after it took no more connections, and the process ended
// before the reply had left.
BOOST_AUTO_TEST_CASE(GivesTheLastReplyTimeToLeave) {
  stop_policy policy(kAsked, kGrace);
  BOOST_TEST((At(policy, 3060, 1) == stop_step::kRefuse));
  BOOST_TEST((At(policy, 3061, 0) == stop_step::kRefuse));
  BOOST_TEST((At(policy, 3060 + 249, 0) != stop_step::kEnd));
  BOOST_TEST((At(policy, 3060 + 251, 0) == stop_step::kEnd));
}

BOOST_AUTO_TEST_CASE(AnIdleRouterEndsWhenTheBalancerKnows) {
  stop_policy policy(kAsked, kGrace);
  BOOST_TEST((At(policy, 3000, 0) == stop_step::kEnd));
}

// Replays trouble-2 with seed 947208607270 (saobang): a server's reply was
// lost, and the router ended with the request unanswered.
BOOST_AUTO_TEST_CASE(AnswersWhatIsLeftBeforeItEnds) {
  stop_policy policy(kAsked, kGrace);
  BOOST_TEST((At(policy, 5090, 3) == stop_step::kRefuse));
  BOOST_TEST((At(policy, 5110, 3) == stop_step::kGiveUp));
  BOOST_TEST((At(policy, 5130, 0) == stop_step::kRefuse));
  BOOST_TEST((At(policy, 5361, 0) == stop_step::kEnd));
}

BOOST_AUTO_TEST_CASE(EndsBeforeItIsKilledWhateverIsInFlight) {
  stop_policy policy(kAsked, kGrace);
  BOOST_TEST((At(policy, 5600, 3) == stop_step::kEnd));
}

}  // namespace
}  // namespace basilhoist
