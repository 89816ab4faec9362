// The gate of one backend server: slots, cold-start window, deadlines.
#include "basilhoist/owner/server_gate.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>

namespace {

using basilhoist::attempt_end;
using basilhoist::gate_item;
using basilhoist::instant;
using basilhoist::microseconds;
using basilhoist::milliseconds;
using basilhoist::reason;
using basilhoist::server_gate;
using basilhoist::server_limits;

const instant kStart{milliseconds(1000000)};

server_limits Limits(std::uint32_t slots) {
  return {.slots = slots,
          .connections = 25,
          .cold_in_flight = 1,
          .successes_per_step = 3};
}

gate_item Item(std::uint64_t id, instant now,
               milliseconds time = milliseconds(1000)) {
  return {.id = id, .deadline = now + time, .arrived = now};
}

// Sends one request after another until the window is open.
void WarmUp(server_gate& gate, instant& now, std::uint32_t slots) {
  constexpr std::uint64_t kLeastReplies = 5;
  for (std::uint64_t id = 1;
       id <= kLeastReplies || gate.Load(now).window < slots; ++id) {
    gate.Offer(Item(id, now), now);
    gate.Next(now);
    now = now + milliseconds(10);
    gate.OnEnd(attempt_end::kAnswered, milliseconds(10), now, "one", now);
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(AColdServerGetsOneAndMoreWithSuccesses) {
  server_gate gate(Limits(2));
  instant now = kStart;
  for (std::uint64_t id = 1; id <= 4; ++id) gate.Offer(Item(id, now), now);
  BOOST_TEST(gate.Next(now).send.size() == 1U);
  for (int i = 0; i < 3; ++i) {
    gate.OnEnd(attempt_end::kAnswered, milliseconds(5), now, "one", now);
    if (i < 2) BOOST_TEST(gate.Next(now).send.size() == 1U);
  }
  BOOST_TEST(gate.Load(now).window == 2U);
}

BOOST_AUTO_TEST_CASE(ARestartShutsTheWindow) {
  server_gate gate(Limits(4));
  instant now = kStart;
  WarmUp(gate, now, 4);
  gate.Offer(Item(100, now), now);
  gate.Next(now);
  gate.OnEnd(attempt_end::kAnswered, milliseconds(10), now, "two", now);
  BOOST_TEST(gate.Load(now).window == 1U);
}

BOOST_AUTO_TEST_CASE(ThreeSlowRepliesInARowShutTheWindow) {
  server_gate gate(Limits(4));
  instant now = kStart;
  WarmUp(gate, now, 4);
  for (std::uint64_t id = 100; id < 103; ++id) {
    gate.Offer(Item(id, now), now);
    gate.Next(now);
    now = now + milliseconds(100);
    gate.OnEnd(attempt_end::kAnswered, milliseconds(100), now, "one", now);
  }
  BOOST_TEST(gate.Load(now).window == 1U);
}

BOOST_AUTO_TEST_CASE(AfterAFailureOneProbeAtATime) {
  server_gate gate(Limits(4));
  instant now = kStart;
  WarmUp(gate, now, 4);
  gate.Offer(Item(100, now), now);
  gate.Next(now);
  gate.OnEnd(attempt_end::kRefused, microseconds(0), now, "", now);
  gate.Offer(Item(101, now), now);
  gate.Offer(Item(102, now), now);
  BOOST_TEST(gate.Next(now).send.empty());
  const instant wake = gate.WakeAt(now);
  BOOST_TEST((wake > now));
  BOOST_TEST(gate.Next(wake).send.size() == 1U);
}

// A server that was quiet may have restarted meanwhile: one request goes ahead,
// and when its reply shows that nothing has changed, the window is back.
BOOST_AUTO_TEST_CASE(AfterAQuietTimeOneRequestGoesAhead) {
  server_gate gate(Limits(4));
  instant now = kStart;
  WarmUp(gate, now, 4);
  now = now + milliseconds(400);
  for (std::uint64_t id = 100; id < 104; ++id) gate.Offer(Item(id, now), now);
  BOOST_TEST(gate.Next(now).send.size() == 1U);
  now = now + milliseconds(10);
  gate.OnEnd(attempt_end::kAnswered, milliseconds(10), now, "one", now);
  BOOST_TEST(gate.Next(now).send.size() == 3U);
}

BOOST_AUTO_TEST_CASE(ALostAttemptKeepsItsSlotUntilItsDeadline) {
  server_gate gate(Limits(1));
  instant now = kStart;
  gate.Offer(Item(1, now, milliseconds(500)), now);
  gate.Next(now);
  gate.OnEnd(attempt_end::kLost, milliseconds(1), now + milliseconds(500), "",
             now);
  now = now + milliseconds(200);
  gate.Offer(Item(2, now), now);
  BOOST_TEST(gate.Next(now).send.empty());
  now = kStart + milliseconds(501);
  BOOST_TEST(gate.Next(now).send.size() == 1U);
}

BOOST_AUTO_TEST_CASE(WhatCannotFinishIsRefusedAtOnce) {
  server_gate gate(Limits(1));
  instant now = kStart;
  WarmUp(gate, now, 1);
  gate.Offer(Item(1, now), now);
  gate.Next(now);
  for (std::uint64_t id = 2; id < 8; ++id) {
    gate.Offer(Item(id, now, milliseconds(60)), now);
  }
  const auto answer = gate.Offer(Item(9, now, milliseconds(60)), now);
  BOOST_TEST(!answer.admitted);
  BOOST_TEST((answer.why == reason::kOverLimit));
  BOOST_TEST(answer.retry_after_ms > 0U);
}

BOOST_AUTO_TEST_CASE(NoSecondAttemptWhenColdOrShortOfSlots) {
  server_gate gate(Limits(2));
  instant now = kStart;
  gate_item second = Item(1000, now);
  second.second_attempt = true;
  BOOST_TEST(!gate.Offer(second, now).admitted);
  WarmUp(gate, now, 2);
  for (std::uint64_t id = 1; id <= 4; ++id) gate.Offer(Item(id, now), now);
  gate.Next(now);
  second.deadline = now + milliseconds(1000);
  BOOST_TEST(gate.Load(now).queued == 2U);
  BOOST_TEST(!gate.Offer(second, now).admitted);
}

// Whatever happens in whatever order: in flight and doubtful never exceed
// the slots, and right after a sign of a cold start no more than one is sent
// until there were successes.
RC_BOOST_PROP(InFlightNeverExceedsWhatTheServerBears, ()) {
  const auto slots = *rc::gen::inRange<std::uint32_t>(1, 7);
  server_gate gate(Limits(slots));
  instant now = kStart;
  std::uint64_t next_id = 0;
  std::map<std::uint64_t, instant> in_flight;
  std::vector<instant> lost;
  std::string incarnation = "0";
  const auto steps = *rc::gen::inRange(10, 200);
  for (int step = 0; step < steps; ++step) {
    now = now + milliseconds(*rc::gen::inRange(0, 40));
    std::erase_if(lost, [&](instant until) { return until <= now; });
    const auto what = *rc::gen::inRange(0, 10);
    if (what < 5 || in_flight.empty()) {
      gate.Offer(Item(++next_id, now, milliseconds(300)), now);
    } else {
      const auto current = *in_flight.begin();
      in_flight.erase(in_flight.begin());
      const auto end = static_cast<attempt_end>(*rc::gen::inRange(0, 7));
      if (*rc::gen::inRange(0, 20) == 0) incarnation += "x";
      const bool replied = end == attempt_end::kAnswered;
      if (end == attempt_end::kLost) lost.push_back(current.second);
      if (end == attempt_end::kRefused) lost.clear();
      gate.OnEnd(end, milliseconds(10), current.second,
                 replied ? incarnation : "", now);
    }
    for (const auto& item : gate.Next(now).send) {
      RC_ASSERT(in_flight.emplace(item.id, item.deadline).second);
      RC_ASSERT(item.deadline > now);
    }
    RC_ASSERT(in_flight.size() <= slots);
    RC_ASSERT(gate.InFlight() == in_flight.size());
  }
}
