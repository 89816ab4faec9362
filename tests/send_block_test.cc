// Whether a server may be sent to, and when refused callers come back.
#include "basilhoist/dispatch/send_block.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <set>

#include "basilhoist/dispatch/retry_time_planner.h"
#include "basilhoist/dispatch/server_notices.h"

namespace basilhoist {
namespace {

const instant kStart{std::chrono::seconds(1000)};
constexpr std::uint64_t kRun = 5;

instant At(int ms) { return kStart + milliseconds(ms); }

BOOST_AUTO_TEST_CASE(ABarThatLastsIsNamedBeforeOneThatPasses) {
  server_condition server{.paused_until = At(50), .avoid_until = At(90)};
  BOOST_TEST((EvaluateServer(server, kStart) ==
              send_decision{.block = send_block::kAvoided, .until = At(90)}));
  server.shutting_down = true;
  BOOST_TEST((EvaluateServer(server, kStart) ==
              send_decision{.block = send_block::kShuttingDown}));
  BOOST_TEST(!EvaluateServer(server, kStart).IsTemporary(kStart));
  server.removed = true;
  BOOST_TEST((EvaluateServer(server, kStart).block == send_block::kRemoved));
}

BOOST_AUTO_TEST_CASE(BarsEndWhenTheirTimeIsOver) {
  const server_condition server{.paused_until = At(50),
                                .avoid_until = At(40),
                                .cold_limited_until = At(30),
                                .connection_free_at = At(20)};
  BOOST_TEST(
      (EvaluateServer(server, At(49)).block == send_block::kPauseRequested));
  BOOST_TEST(EvaluateServer(server, At(50)).Allowed());
}

BOOST_AUTO_TEST_CASE(EachBarKeepsRequestsAway) {
  const std::vector<std::pair<server_condition, send_block>> cases = {
      {{.removed = true}, send_block::kRemoved},
      {{.draining = true}, send_block::kDraining},
      {{.evacuated = true}, send_block::kEvacuated},
      {{.shutting_down = true}, send_block::kShuttingDown},
      {{.paused_until = At(1)}, send_block::kPauseRequested},
      {{.avoid_until = At(1)}, send_block::kAvoided},
      {{.cold_limited_until = At(1)}, send_block::kColdStart},
      {{.connection_free_at = At(1)}, send_block::kNoFreeConnection}};
  std::set<std::string_view> names;
  for (const auto& [server, bar] : cases) {
    BOOST_TEST((EvaluateServer(server, kStart).block == bar), Name(bar));
    names.insert(Name(bar));
  }
  BOOST_TEST(names.size() == kSendBlockCount - 1);
  BOOST_TEST(EvaluateServer({}, kStart).Allowed());
}

BOOST_AUTO_TEST_CASE(AWaitThatCannotBeReadOrIsAbsurdIsBounded) {
  using notices = server_notices;
  const auto read = [](std::string_view text) { return ParseRetryAfter(text); };
  BOOST_TEST((read("2") == advertised_wait{.wait = milliseconds(2000)}));
  BOOST_TEST((read("0.25") == advertised_wait{.wait = milliseconds(250)}));
  BOOST_TEST((read("0") == advertised_wait{}));
  for (const char* text : {"", "-1", "soon", "2s", " 2", "1e9", "inf", "nan",
                           "0x10", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    BOOST_TEST((read(text) == advertised_wait{.wait = notices::kFallbackWait,
                                              .adjusted = true}),
               text);
  }
  for (const char* text : {"60.001", "86400000", "99999999999999999999999"}) {
    BOOST_TEST((read(text) ==
                advertised_wait{.wait = notices::kMaxWait, .adjusted = true}),
               text);
  }
}

BOOST_AUTO_TEST_CASE(AfterAWaitOneRequestGoesFirst) {
  server_notices notices;
  notices.OnPauseRequested(kRun, milliseconds(100), kStart);
  BOOST_TEST((notices.PausedUntil(kRun, At(99)) > At(99)));
  BOOST_TEST((notices.PausedUntil(kRun, At(100)) <= At(100)));
  notices.OnSent(kRun, At(100));
  BOOST_TEST((notices.PausedUntil(kRun, At(101)) > At(101)));
  notices.OnAccepted(kRun);
  BOOST_TEST((notices.PausedUntil(kRun, At(102)) <= At(102)));
}

BOOST_AUTO_TEST_CASE(AFirstRequestWithoutReplyHoldsOthersBrieflyOnly) {
  server_notices notices;
  notices.OnPauseRequested(kRun, milliseconds(100), kStart);
  notices.OnSent(kRun, At(100));
  const instant later = At(100) + server_notices::kProbeTimeout;
  BOOST_TEST((notices.PausedUntil(kRun, later) <= later));
}

BOOST_AUTO_TEST_CASE(ARelaysWordOfALeavingServerIsBelievedBriefly) {
  server_notices notices;
  notices.OnRelayedNotice({.run = kRun, .leaving = true, .quiet_ms = 500},
                          kStart);
  BOOST_TEST(notices.IsShuttingDown(kRun, At(1)));
  BOOST_TEST((notices.PausedUntil(kRun, At(1)) == At(500)));
  BOOST_TEST(!notices.IsShuttingDown(
      kRun, kStart + server_notices::kRelayedNoticeLifetime));
  // Its own word is not shortened by a relay's.
  notices.OnShuttingDown(kRun, kStart);
  notices.OnRelayedNotice({.run = kRun, .leaving = true}, kStart);
  BOOST_TEST(notices.IsShuttingDown(
      kRun, kStart + server_notices::kRelayedNoticeLifetime));
}

// Replies come doubled and out of order, and time jumps ahead: while a server
// has asked for rest no request goes there, and one that is over ends.
RC_BOOST_PROP(AServerIsLeftAloneForAsLongAsItAskedAndNoLonger, ()) {
  server_notices notices;
  instant now = kStart;
  std::map<std::uint64_t, instant> quiet;
  std::map<std::uint64_t, instant> leaving;
  const int steps = *rc::gen::inRange(1, 200);
  for (int i = 0; i < steps; ++i) {
    const auto run = *rc::gen::inRange<std::uint64_t>(1, 4);
    const bool jump = *rc::gen::inRange(0, 20) == 0;
    now = now + milliseconds(*rc::gen::inRange(0, jump ? 700000 : 400));
    switch (*rc::gen::inRange(0, 6)) {
      case 0: {
        const milliseconds wait(*rc::gen::inRange(0, 60000));
        notices.OnPauseRequested(run, wait, now);
        quiet[run] = std::max(quiet[run], now + wait);
        break;
      }
      case 1:
        notices.OnShuttingDown(run, now);
        leaving[run] = now + server_notices::kShutdownNoticeLifetime;
        break;
      case 2:
        notices.OnAccepted(run);  // perhaps a late reply
        break;
      default: {
        const bool barred = notices.PausedUntil(run, now) > now;
        if (now < quiet[run]) RC_ASSERT(barred);
        RC_ASSERT(notices.IsShuttingDown(run, now) == (now < leaving[run]));
        if (!barred) notices.OnSent(run, now);
        // Nothing keeps a server away for good.
        const instant free =
            std::max(now, quiet[run]) + server_notices::kProbeTimeout;
        RC_ASSERT(notices.PausedUntil(run, free) <= free);
      }
    }
  }
}

microseconds Plan(retry_time_planner& planner, unsigned priority,
                  int deadline_ms, int earliest_ms = 1000) {
  return planner.Plan("s", {.priority = priority, .deadline = At(deadline_ms)},
                      {.earliest = At(earliest_ms), .spacing = milliseconds(5)},
                      kStart);
}

BOOST_AUTO_TEST_CASE(CallersComeBackByPriorityAndDeadline) {
  retry_time_planner planner;
  for (int i = 0; i < 20; ++i) Plan(planner, 2, 3000);
  const microseconds lowest = Plan(planner, 2, 3000);
  BOOST_TEST((lowest == milliseconds(1000 + 20 * 5)));
  BOOST_TEST((Plan(planner, 2, 800) == milliseconds(1000)));
  BOOST_TEST((Plan(planner, 0, 9000) == milliseconds(1000)));
  BOOST_TEST((Plan(planner, 1, 9000) == milliseconds(1005)));
  BOOST_TEST((Plan(planner, 2, 900) == milliseconds(1015)));
}

// However callers come, those of one rank keep their distance, nobody comes
// before it makes sense, and nobody waits for long because of others.
RC_BOOST_PROP(CallersOfOneRankNeverComeBackTogether, ()) {
  retry_time_planner planner;
  const auto callers = *rc::gen::inRange(1, 300);
  std::map<std::pair<unsigned, int>, std::set<microseconds>> told;
  for (int i = 0; i < callers; ++i) {
    const auto priority = *rc::gen::inRange(0U, 3U);
    const int deadline = 100 * *rc::gen::inRange(1, 4);
    const microseconds at = Plan(planner, priority, deadline);
    RC_ASSERT(at >= milliseconds(1000));
    RC_ASSERT(at <= milliseconds(1000) + retry_time_planner::kMaxSpread);
    if (at < milliseconds(1000) + retry_time_planner::kMaxSpread) {
      const auto rank = std::pair(priority, deadline);
      RC_ASSERT(told[rank].insert(at).second);
    }
  }
}

BOOST_AUTO_TEST_CASE(CallersThatCameBackHoldNobodyUp) {
  retry_time_planner planner;
  for (int i = 0; i < 50; ++i) Plan(planner, 1, 3000, 10);
  const microseconds later = planner.Plan(
      "s", {.priority = 1, .deadline = At(9000)},
      {.earliest = At(2000), .spacing = milliseconds(5)}, At(1990));
  BOOST_TEST((later == milliseconds(10)));
}

}  // namespace
}  // namespace basilhoist
