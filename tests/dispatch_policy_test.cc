// Tests the decisions that need no input or output: retry budget, answer
// policy, classification of replies, choice of a replica, and server
// statistics.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>

#include "basilhoist/dispatch/answer_policy.h"
#include "basilhoist/dispatch/replica_choice.h"
#include "basilhoist/dispatch/reply_check.h"
#include "basilhoist/dispatch/retry_budget.h"
#include "basilhoist/dispatch/server_stats.h"

namespace basilhoist {
namespace {

const instant kStart{std::chrono::seconds(100)};

// However requests are spread over instances and time, the extra sends of all
// instances together stay within the limit in every window.
RC_BOOST_PROP(ExtraSendsStayWithinTheSharedBudget, ()) {
  const auto instances = *rc::gen::inRange<std::size_t>(1, 9);
  const retry_budget_options options{
      .ratio = 0.2, .fixed = 56, .window = milliseconds(10000)};
  std::vector<retry_budget> budgets(instances);
  struct sent {
    std::int64_t at_ms;
    bool extra;
  };
  std::deque<sent> log;
  std::int64_t now_ms = 0;
  const int count = *rc::gen::inRange(1, 1500);
  for (int i = 0; i < count; ++i) {
    now_ms += *rc::gen::inRange(0, 40);
    const instant now = kStart + milliseconds(now_ms);
    // The load is skewed: the first instance gets most requests.
    const auto which = *rc::gen::inRange<std::size_t>(0, 3) > 0
                           ? std::size_t{0}
                           : *rc::gen::inRange<std::size_t>(0, instances);
    if (*rc::gen::inRange(0, 3) == 0) {
      budgets[which].OnRequest(now, options.window);
      log.push_back({now_ms, false});
    } else if (budgets[which].Spend(
                   options, 1.0 / static_cast<double>(instances), now)) {
      log.push_back({now_ms, true});
    }
    while (log.front().at_ms < now_ms - options.window.count()) {
      log.pop_front();
    }
    double requests = 0;
    double extras = 0;
    for (const sent& event : log) ++(event.extra ? extras : requests);
    RC_ASSERT(extras <= options.ratio * requests + options.fixed);
  }
}

BOOST_AUTO_TEST_CASE(BudgetIsAvailableAgainAfterItsWindow) {
  const retry_budget_options options{
      .ratio = 0, .fixed = 10, .window = milliseconds(10000)};
  retry_budget budget;
  int spent = 0;
  while (budget.Spend(options, 1, kStart)) ++spent;
  BOOST_TEST(spent == 9);
  BOOST_TEST(!budget.Spend(options, 1, kStart + milliseconds(9900)));
  BOOST_TEST(budget.Spend(options, 1, kStart + milliseconds(10600)));
  BOOST_TEST(budget.Spend(options, 1, kStart + std::chrono::hours(3)));
}

BOOST_AUTO_TEST_CASE(SendThatReachedNoServerIsRefunded) {
  const retry_budget_options options{
      .ratio = 0, .fixed = 2, .window = milliseconds(10000)};
  retry_budget budget;
  BOOST_TEST(budget.Spend(options, 1, kStart));
  BOOST_TEST(!budget.Spend(options, 1, kStart));
  budget.Refund();
  BOOST_TEST(budget.Spend(options, 1, kStart));
}

struct answer_case {
  fan_out_progress progress;
  fan_out_decision expected;
};

BOOST_AUTO_TEST_CASE(AnswersWhenWaitingGainsNothing) {
  using enum fan_out_decision;
  const std::vector<answer_case> cases = {
      {{.shards = 20, .answered = 19, .min_coverage = 0.89}, kWait},
      {{.shards = 20, .answered = 20, .min_coverage = 0.89}, kAnswer},
      {{.shards = 20, .answered = 19, .failed = 1, .min_coverage = 0.89},
       kAnswer},
      {{.shards = 20,
        .answered = 18,
        .min_coverage = 0.89,
        .objective_passed = true},
       kAnswer},
      {{.shards = 20,
        .answered = 17,
        .min_coverage = 0.89,
        .objective_passed = true},
       kWait},
      {{.shards = 20, .answered = 0, .failed = 3, .min_coverage = 0.89},
       kGiveUp},
      {{.shards = 20,
        .answered = 17,
        .min_coverage = 0.89,
        .objective_passed = true,
        .deadline_passed = true},
       kGiveUp},
      {{.shards = 4,
        .answered = 3,
        .min_coverage = 0.75,
        .deadline_passed = true},
       kAnswer},
      // A success needs at least one shard, whatever the minimum coverage.
      {{.shards = 2, .answered = 0, .failed = 2, .min_coverage = 0}, kGiveUp},
  };
  for (const answer_case& sample : cases) {
    BOOST_TEST((DecideAnswer(sample.progress) == sample.expected));
  }
}

const header_names kNames{.not_executed = "X-Not-Run", .signature = "X-Proof"};

BOOST_AUTO_TEST_CASE(OnlyNotExecutedHeaderOrStatus421ProvesNotRun) {
  using enum send_outcome;
  const auto classify = [](const backend_reply& reply) {
    return ClassifyReply(reply, kNames);
  };
  const http_header proof{.name = "x-proof", .value = "p"};
  BOOST_TEST((classify({.status = 200, .headers = {proof}}) == kAnswer));
  BOOST_TEST((classify({.status = 200}) == kUnclear));
  BOOST_TEST((classify({.status = 200,
                        .headers = {proof, {"Content-Encoding", "gzip"}}}) ==
              kUnclear));
  BOOST_TEST((classify({.status = 500, .headers = {proof}}) == kServerFailure));
  BOOST_TEST((classify({.status = 503}) == kServerFailure));
  BOOST_TEST(
      (classify({.status = 503, .headers = {{"X-Not-Run", "1"}}}) == kShed));
  BOOST_TEST((classify({.status = 421}) == kWrongServer));
  BOOST_TEST(
      (classify({.error = exchange_error::kNotConnected}) == kNeverSent));
  BOOST_TEST((classify({.error = exchange_error::kRefused}) == kNeverSent));
  BOOST_TEST(
      (classify({.error = exchange_error::kBroken, .sent = true}) == kUnclear));
  BOOST_TEST((classify({.error = exchange_error::kGarbled, .sent = true}) ==
              kUnclear));
  for (const auto outcome : {kAnswer, kServerFailure, kUnclear}) {
    BOOST_TEST(!IsKnownNotExecuted(outcome));
  }
  for (const auto outcome : {kShed, kWrongServer, kNeverSent}) {
    BOOST_TEST(IsKnownNotExecuted(outcome));
  }
}

BOOST_AUTO_TEST_CASE(PrefersReplicaThatIsNotBusySlowOrStalled) {
  const replica_candidate good{.slots = 2};
  const auto chosen = [&good](replica_candidate other) {
    // The tie value prefers the first replica.
    return ChooseReplica({other, good}, 0);
  };
  BOOST_TEST(*chosen({.health = {.in_flight = 1}, .slots = 2}) == 1U);
  BOOST_TEST(*chosen({.health = {.slowness = 5}, .slots = 2}) == 1U);
  BOOST_TEST(*chosen({.health = {.stalled = true}, .slots = 2}) == 1U);
  BOOST_TEST(*chosen({.health = {.failure_share = 0.5}, .slots = 2}) == 1U);
  BOOST_TEST(*chosen({.slots = 2, .cold = true}) == 1U);
  BOOST_TEST(*chosen({.slots = 2, .local = true}) == 0U);
  BOOST_TEST(!ChooseReplica({}, 0));
}

struct stats_fixture {
  server_stats stats;
  std::uint64_t last = 0;

  void RecordSend(int took_ms, send_result how) {
    stats.OnSent(1, ++last, milliseconds(10), kStart);
    stats.OnEnd(1, last, how, kStart + milliseconds(took_ms));
  }
};

BOOST_FIXTURE_TEST_CASE(SlowServerIsDetectedWithinAFewReplies, stats_fixture) {
  for (int i = 0; i < 5; ++i) RecordSend(100, send_result::kReplied);
  BOOST_TEST(stats.HealthOf(1, kStart).slowness > 4);
  for (int i = 0; i < 20; ++i) RecordSend(10, send_result::kReplied);
  BOOST_TEST(stats.HealthOf(1, kStart).slowness < 1.5);
}

BOOST_FIXTURE_TEST_CASE(AbandonedSendsCountOnlyIfLate, stats_fixture) {
  RecordSend(1, send_result::kAbandoned);
  BOOST_TEST(stats.HealthOf(1, kStart).slowness == 1);
  RecordSend(150, send_result::kAbandoned);
  BOOST_TEST(stats.HealthOf(1, kStart).slowness > 2);
}

BOOST_FIXTURE_TEST_CASE(BrokenServersAreAvoidedLongerEachTime, stats_fixture) {
  instant before = kStart;
  for (int i = 0; i < 4; ++i) {
    RecordSend(0, send_result::kConnectionBroken);
    BOOST_TEST((stats.HealthOf(1, kStart).avoid_until > before));
    before = stats.HealthOf(1, kStart).avoid_until;
  }
  for (int i = 0; i < 9; ++i) RecordSend(0, send_result::kConnectionBroken);
  BOOST_TEST((stats.HealthOf(1, kStart).avoid_until ==
              kStart + server_stats::kMaxAvoid));
  RecordSend(10, send_result::kReplied);
  RecordSend(0, send_result::kConnectionBroken);
  BOOST_TEST((stats.HealthOf(1, kStart).avoid_until ==
              kStart + server_stats::kMinAvoid));
}

BOOST_FIXTURE_TEST_CASE(ServerWithALateReplyIsStalled, stats_fixture) {
  stats.OnSent(1, 1, milliseconds(10), kStart);
  BOOST_TEST(!stats.HealthOf(1, kStart + milliseconds(29)).stalled);
  BOOST_TEST(stats.HealthOf(1, kStart + milliseconds(31)).stalled);
  BOOST_TEST(stats.HealthOf(1, kStart).in_flight == 1U);
}

}  // namespace
}  // namespace basilhoist
