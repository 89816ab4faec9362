// One request on its way through its shards: one snapshot, true coverage,
// its own answers only, and a final answer as soon as nothing can be gained.
#include "basilhoist/entry/query_run.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>

namespace {

using basilhoist::group_index;
using basilhoist::group_state;
using basilhoist::index_version;
using basilhoist::instant;
using basilhoist::milliseconds;
using basilhoist::planned_attempt;
using basilhoist::query_answer;
using basilhoist::query_run;
using basilhoist::query_spec;
using basilhoist::query_step;
using basilhoist::reason;
using basilhoist::server_table;
using basilhoist::service_group;
using basilhoist::shard;
using basilhoist::subreply;
using basilhoist::verdict;

const instant kStart{milliseconds(1000000)};

service_group Group() {
  service_group group{.name = "g"};
  group.policy.default_deadline = milliseconds(1000);
  group.policy.partial_after = milliseconds(1000);
  return group;
}

// Version 1 has whole shards, version 2 has each split in two.
std::shared_ptr<group_index> MakeIndex(int shards, bool with_second) {
  auto index = std::make_shared<group_index>();
  index_version whole{.version = 1};
  index_version split{.version = 2};
  for (int i = 0; i < shards; ++i) {
    const std::string name = "s" + std::to_string(i);
    const std::vector<std::string> servers{name + "-a", name + "-b"};
    whole.shards.push_back({name, servers});
    split.shards.push_back({name + ".0", servers});
    split.shards.push_back({name + ".1", servers});
  }
  index->versions.push_back(whole);
  if (with_second) index->versions.push_back(split);
  return index;
}

std::string BodyFor(const std::string& part, std::uint64_t version) {
  return part + "@" + std::to_string(version);
}

// Backend servers as far as a run sees them: answers come in any order, may
// be lost, refused, doubled, or name another shard.
class model {
 public:
  explicit model(int shards)
      : index_(MakeIndex(shards, *rc::gen::inRange(0, 2) == 1)),
        group_(Group(), {}),
        table_(7),
        run_(
            {.deadline = kStart + milliseconds(1000)},
            [this] { return std::shared_ptr<const group_index>(index_); },
            table_, group_, next_id_) {}

  query_answer Play() {
    Take(run_.Begin(now_));
    int turns = 0;
    while (!answer_) {
      RC_ASSERT(++turns < 10000);
      Turn();
    }
    // Late replies change nothing any more.
    while (!waiting_.empty()) Reply(verdict::kDone, false);
    RC_ASSERT(answers_ == 1);
    RC_ASSERT(run_.OpenAttempts() == 0U);
    return *answer_;
  }

  instant Now() const { return now_; }
  bool AnyMayHaveRun() const { return may_have_run_; }
  const group_index& Index() const { return *index_; }

 private:
  void Take(query_step step) {
    for (const auto& each : step.send) waiting_.push_back(each);
    if (!step.answer) {
      wake_ = step.wake_at;
      return;
    }
    ++answers_;
    answer_ = std::move(step.answer);
  }

  void Turn() {
    if (*rc::gen::inRange(0, 12) == 0) gone_ = 1;  // version 1 vanishes
    switch (waiting_.empty() ? 9 : *rc::gen::inRange(0, 10)) {
      case 0:
        Reply(verdict::kNotRun, false);
        break;
      case 1:
        Reply(verdict::kMayHaveRun, false);
        break;
      case 2:
        Reply(verdict::kDone, true);
        break;
      case 3:
        Lose();
        break;
      case 9:
        now_ = std::max(now_, wake_);
        Take(run_.OnTime(now_));
        break;
      default:
        Reply(verdict::kDone, false);
        break;
    }
  }

  planned_attempt Pick() {
    const auto at = *rc::gen::inRange<std::size_t>(0, waiting_.size());
    planned_attempt picked = waiting_[at];
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(at));
    return picked;
  }

  void Reply(verdict outcome, bool crossed) {
    const planned_attempt to = Pick();
    now_ = now_ + milliseconds(*rc::gen::inRange(0, 20));
    subreply reply{.id = to.id,
                   .outcome = outcome,
                   .shard = crossed ? "another" : to.shard,
                   .version = to.version,
                   .oldest_version = gone_ + 1,
                   .newest_version = 2,
                   .body = BodyFor(crossed ? "another" : to.shard, to.version)};
    if (outcome == verdict::kDone && to.version <= gone_) {
      reply.outcome = verdict::kNotRun;
      reply.why = reason::kVersionGone;
    } else if (outcome != verdict::kDone) {
      reply.why = reason::kServerFailed;
    }
    may_have_run_ = may_have_run_ || reply.outcome != verdict::kNotRun;
    Take(run_.OnReply(reply, now_));
    if (*rc::gen::inRange(0, 5) == 0) Take(run_.OnReply(reply, now_));
  }

  void Lose() {
    const planned_attempt to = Pick();
    const bool sent = *rc::gen::inRange(0, 2) == 1;
    may_have_run_ = may_have_run_ || sent;
    Take(run_.OnLost(to.id, sent ? verdict::kMayHaveRun : verdict::kNotRun,
                     now_));
  }

  instant now_ = kStart;
  instant wake_;
  std::uint64_t next_id_ = 0;
  std::uint64_t gone_ = 0;
  std::shared_ptr<group_index> index_;
  group_state group_;
  server_table table_;
  query_run run_;
  std::deque<planned_attempt> waiting_;
  std::optional<query_answer> answer_;
  int answers_ = 0;
  bool may_have_run_ = false;
};

const index_version* FindVersion(const group_index& index,
                                 std::uint64_t version) {
  for (const auto& each : index.versions) {
    if (each.version == version) return &each;
  }
  return nullptr;
}

}  // namespace

RC_BOOST_PROP(AnswersAreOneSnapshotWithTrueCoverage, ()) {
  model played(*rc::gen::inRange(1, 8));
  const query_answer answer = played.Play();
  const index_version* version =
      FindVersion(played.Index(), answer.index_version);
  RC_ASSERT(version != nullptr);
  RC_ASSERT(answer.total_shards == version->shards.size());
  RC_ASSERT(answer.results.size() + answer.missing.size() ==
            answer.total_shards);
  std::set<std::string> seen;
  for (const auto& each : answer.results) {
    RC_ASSERT(each.body == BodyFor(each.shard, answer.index_version));
    RC_ASSERT(seen.insert(each.shard).second);
  }
  for (const auto& each : answer.missing) {
    RC_ASSERT(each.why != reason::kNone);
    RC_ASSERT(seen.insert(each.shard).second);
  }
  for (const auto& each : version->shards) {
    RC_ASSERT(seen.contains(each.name));
  }
}

RC_BOOST_PROP(NotRunIsOnlySaidWhenNothingMayHaveRun, ()) {
  model played(*rc::gen::inRange(1, 4));
  const query_answer answer = played.Play();
  if (answer.outcome == verdict::kNotRun) {
    RC_ASSERT(!played.AnyMayHaveRun());
    RC_ASSERT(answer.retry_after_ms > 0U);
  }
  if (answer.outcome == verdict::kDone) RC_ASSERT(!answer.results.empty());
}

RC_BOOST_PROP(NoAnswerComesAfterTheDeadline, ()) {
  model played(*rc::gen::inRange(1, 8));
  played.Play();
  RC_ASSERT(played.Now() <= kStart + milliseconds(1200));
}

// A run whose budget gives no retries but the first one.
struct run_without_retries {
  run_without_retries(int shards, bool split)
      : index(MakeIndex(shards, split)), state(GroupWithoutRetries(), {}) {}

  static service_group GroupWithoutRetries() {
    service_group group = Group();
    group.policy.retry_share = 0;
    return group;
  }

  std::shared_ptr<const group_index> index;
  group_state state;
  server_table table{7};
  std::uint64_t next_id = 0;
  query_run run{{.deadline = kStart + milliseconds(1000)},
                [this] { return index; },
                table,
                state,
                next_id};
};

BOOST_AUTO_TEST_CASE(WhatIsGivenUpIsAnsweredAtOnce) {
  run_without_retries played(1, false);
  query_run& run = played.run;
  query_step step = run.Begin(kStart);
  // The budget holds one retry from the start.
  for (int i = 0; i < 2 && !step.answer; ++i) {
    BOOST_REQUIRE_EQUAL(step.send.size(), 1U);
    subreply refused{.id = step.send[0].id,
                     .outcome = verdict::kNotRun,
                     .why = reason::kOverLimit,
                     .retry_after_ms = 700};
    step = run.OnReply(refused, kStart + milliseconds(3));
  }
  BOOST_REQUIRE(step.answer.has_value());
  BOOST_TEST((step.answer->outcome == verdict::kNotRun));
  BOOST_TEST(step.answer->retry_after_ms == 700U);
}

BOOST_AUTO_TEST_CASE(ARequestNotToBeRepeatedIsSentOnceOnceItMayHaveRun) {
  const auto index = MakeIndex(1, false);
  group_state state(Group(), {});
  server_table table(7);
  std::uint64_t next_id = 0;
  query_run run(
      {.deadline = kStart + milliseconds(1000), .key = "k", .once = true},
      [&] { return std::shared_ptr<const group_index>(index); }, table, state,
      next_id);
  query_step step = run.Begin(kStart);
  BOOST_REQUIRE_EQUAL(step.send.size(), 1U);
  BOOST_TEST(run.OnTime(kStart + milliseconds(900)).send.empty());
  step = run.OnLost(step.send[0].id, verdict::kMayHaveRun,
                    kStart + milliseconds(901));
  BOOST_TEST(step.send.empty());
  BOOST_REQUIRE(step.answer.has_value());
  BOOST_TEST((step.answer->outcome == verdict::kMayHaveRun));
}

// Replays what bench chaos --seed 429823720 showed during an index roll-over: a
// query that starts again whole forgot that a cancelled attempt may have run.
BOOST_AUTO_TEST_CASE(WhatWasInFlightAtARestartMayHaveRun) {
  run_without_retries played(2, true);
  query_run& run = played.run;
  instant now = kStart;
  query_step step = run.Begin(now);
  BOOST_REQUIRE(!step.send.empty());
  // The first attempt stays in flight; all others are refused.
  const std::uint64_t in_flight = step.send.front().id;
  const std::uint64_t first_version = step.send.front().version;
  const std::uint64_t other = first_version == 1 ? 2 : 1;
  std::deque<planned_attempt> waiting;
  bool restarted = false;
  while (!step.answer) {
    for (const auto& each : step.send) {
      restarted = restarted || each.version != first_version;
      if (each.id != in_flight) waiting.push_back(each);
    }
    now = now + milliseconds(1);
    if (waiting.empty()) {
      now = std::max(now, step.wake_at);
      step = run.OnTime(now);
      continue;
    }
    const planned_attempt to = waiting.front();
    waiting.pop_front();
    const bool gone = to.version == first_version;
    step = run.OnReply({.id = to.id,
                        .outcome = verdict::kNotRun,
                        .why = gone ? reason::kVersionGone : reason::kOverLimit,
                        .shard = to.shard,
                        .version = to.version,
                        .oldest_version = gone ? other : 1,
                        .newest_version = gone ? other : 2},
                       now);
  }
  BOOST_TEST(restarted);
  BOOST_TEST((step.answer->outcome == verdict::kMayHaveRun));
}
