// Tests that a server in its cold start gets no more requests than its rate
// allows from all instances together.
#include "basilhoist/dispatch/cold_start_limiter.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>

namespace basilhoist {
namespace {

const instant kStart{std::chrono::seconds(100)};
// The platform tolerates this much above a server's rate.
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5;

// In every second the requests of all instances together stay within the bound,
// for any number of instances, any rate and any distribution of requests over
// the instances. Instances may disagree on their ranks, as long as no more than
// kMaxSenders of them consider themselves senders.
RC_BOOST_PROP(AColdServerGetsNoMoreThanItsRate, ()) {
  const auto instances = *rc::gen::inRange<std::size_t>(1, 80);
  const auto rate = *rc::gen::inRange(1, 30);
  std::vector<cold_start_limiter> limiters(instances);
  std::deque<std::int64_t> sent;
  std::int64_t now_ms = 0;
  const int tries = *rc::gen::inRange(1, 800);
  for (int i = 0; i < tries; ++i) {
    now_ms += *rc::gen::inRange(0, 20);
    const instant now = kStart + milliseconds(now_ms);
    const auto which = *rc::gen::inRange<std::size_t>(0, instances);
    const cold_start_limit limit{.rate_per_s = static_cast<double>(rate),
                                 .instances = instances,
                                 .rank = which};
    if (limiters[which].Allows(1, limit, now)) {
      limiters[which].OnSent(1, now);
      sent.push_back(now_ms);
    }
    while (!sent.empty() && sent.front() <= now_ms - 1000) sent.pop_front();
    RC_ASSERT(static_cast<double>(sent.size()) <= rate * kOvershoot + kSlack);
  }
}

BOOST_AUTO_TEST_CASE(WithoutARateThereIsNoLimit) {
  cold_start_limiter limiter;
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(limiter.Allows(1, {.rate_per_s = 0, .rank = 70}, kStart));
    limiter.OnSent(1, kStart);
  }
}

}  // namespace
}  // namespace basilhoist
