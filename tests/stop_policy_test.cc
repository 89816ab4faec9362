// Graceful shutdown of a router: every accepted request is answered before the
// process exits.
#include "basilhoist/router/stop_policy.h"

#include <boost/test/unit_test.hpp>

namespace basilhoist {
namespace {

constexpr milliseconds kGracePeriod{6000};
const instant kRequestedAt{std::chrono::seconds(100)};

stop_step StepAt(stop_policy& policy, int ms, std::size_t in_flight) {
  return policy.Next(in_flight, kRequestedAt + milliseconds(ms));
}

BOOST_AUTO_TEST_CASE(AcceptsConnectionsDuringTheBalancerLag) {
  stop_policy policy(kRequestedAt, kGracePeriod);
  BOOST_TEST((StepAt(policy, 0, 0) == stop_step::kServe));
  BOOST_TEST((StepAt(policy, 2990, 0) == stop_step::kServe));
  BOOST_TEST((StepAt(policy, 3010, 1) == stop_step::kDrain));
}

// Regression test (scenario hunt-1ec9-19, site saobang): a router answered its
// last request 60 ms after it had stopped accepting connections, and the
// process exited before that answer was sent.
BOOST_AUTO_TEST_CASE(LeavesTimeToSendTheLastAnswer) {
  stop_policy policy(kRequestedAt, kGracePeriod);
  BOOST_TEST((StepAt(policy, 3060, 1) == stop_step::kDrain));
  BOOST_TEST((StepAt(policy, 3061, 0) == stop_step::kDrain));
  BOOST_TEST((StepAt(policy, 3060 + 249, 0) != stop_step::kExit));
  BOOST_TEST((StepAt(policy, 3060 + 251, 0) == stop_step::kExit));
}

BOOST_AUTO_TEST_CASE(IdleRouterExitsAfterTheBalancerLag) {
  stop_policy policy(kRequestedAt, kGracePeriod);
  BOOST_TEST((StepAt(policy, 3000, 0) == stop_step::kExit));
}

// Regression test (scenario trouble-2, seed 947208607270, site saobang): the
// reply of a backend server was lost, and the router exited without answering
// the request.
BOOST_AUTO_TEST_CASE(ExpiresRemainingRequestsBeforeItExits) {
  stop_policy policy(kRequestedAt, kGracePeriod);
  BOOST_TEST((StepAt(policy, 5090, 3) == stop_step::kDrain));
  BOOST_TEST((StepAt(policy, 5110, 3) == stop_step::kExpire));
  BOOST_TEST((StepAt(policy, 5130, 0) == stop_step::kDrain));
  BOOST_TEST((StepAt(policy, 5361, 0) == stop_step::kExit));
}

BOOST_AUTO_TEST_CASE(ExitsBeforeTheGracePeriodEndsDespiteRequestsInFlight) {
  stop_policy policy(kRequestedAt, kGracePeriod);
  BOOST_TEST((StepAt(policy, 5600, 3) == stop_step::kExit));
}

}  // namespace
}  // namespace basilhoist
