// Requests that crash servers are told from those that were merely there.
#include "basilhoist/dispatch/crash_guard.h"

#include <rapidcheck/boost_test.h>

#include <array>
#include <boost/test/unit_test.hpp>

#include "basilhoist/dispatch/crash_confirmer.h"

namespace basilhoist {
namespace {

const instant kStart{std::chrono::seconds(1000)};
constexpr std::uint64_t kBad = 7;
constexpr std::uint64_t kDesk = 100;
constexpr std::uint64_t kPortal = 101;

std::shared_ptr<request_answers> Answered(
    std::vector<std::uint64_t> services = {}) {
  return std::make_shared<request_answers>(
      request_answers{.services = std::move(services)});
}

lost_send LostSend(std::uint64_t server, std::uint64_t fingerprint = kBad,
                   std::uint64_t service = kDesk) {
  return {.identity = {.exact = fingerprint},
          .service = service,
          .incarnation = server,
          .answers = Answered()};
}

void Crash(crash_guard& guard, std::uint64_t server, instant now,
           std::uint64_t fingerprint = kBad, std::uint64_t service = kDesk) {
  guard.OnLost(LostSend(server, fingerprint, service), now);
  static_cast<void>(guard.OnTerminated(server, now));
}

BOOST_AUTO_TEST_CASE(ARequestThatCrashedThreeServersIsKeptOut) {
  crash_guard guard;
  const request_identity bad = crash_guard::Identify("GET", "/bad", "");
  for (std::uint64_t server = 1; server <= 3; ++server) {
    BOOST_TEST(!guard.Refuses(bad));
    guard.OnLost(LostSend(server, bad.exact), kStart);
    const crash_update news =
        guard.OnTerminated(server, kStart + milliseconds(100));
    BOOST_TEST(news.reportable.size() == 1U);
    BOOST_TEST(news.newly_refused.size() == (server == 3 ? 1U : 0U));
  }
  BOOST_TEST(guard.Refuses(bad));
  BOOST_TEST(guard.Refuses(bad, kPortal));
  BOOST_TEST(!guard.Refuses(crash_guard::Identify("GET", "/bad", "x")));
  BOOST_TEST(!guard.Refuses(crash_guard::Identify("POST", "/bad", "")));
}

BOOST_AUTO_TEST_CASE(ALostReplyIsNoCrash) {
  crash_guard guard;
  for (std::uint64_t server = 1; server <= 9; ++server) {
    guard.OnLost(LostSend(server), kStart);
    // The server ends for a reason of its own, much later.
    const instant later =
        kStart + crash_guard::kConfirmationWindow + milliseconds(1);
    BOOST_TEST(guard.OnTerminated(server, later).reportable.empty());
  }
  BOOST_TEST(!guard.Refuses({.exact = kBad}));
}

BOOST_AUTO_TEST_CASE(CrashesOfOneServerCountOnce) {
  crash_guard guard;
  for (int i = 0; i < 5; ++i) Crash(guard, 1, kStart);
  BOOST_TEST(!guard.Refuses({.exact = kBad}));
}

// A fan-out touches many servers that end together; it has answers of others.
BOOST_AUTO_TEST_CASE(ARequestWithAnswersIsNotBlamedForADomainThatEnds) {
  crash_guard guard;
  const auto request = Answered();
  for (std::uint64_t shard = 1; shard <= 20; ++shard) {
    guard.OnLost({.identity = {.exact = kBad},
                  .service = shard,
                  .incarnation = shard,
                  .answers = request},
                 kStart);
  }
  request->services.push_back(21);
  for (std::uint64_t server = 1; server <= 20; ++server) {
    static_cast<void>(guard.OnTerminated(server, kStart));
  }
  BOOST_TEST(!guard.Refuses({.exact = kBad}));
  BOOST_TEST(!guard.Refuses({.exact = kBad}, 1));
}

BOOST_AUTO_TEST_CASE(AnAnswerAfterTheCrashClearsARequest) {
  crash_guard guard;
  Crash(guard, 1, kStart);
  Crash(guard, 2, kStart);
  guard.OnAnswer({.exact = kBad}, kDesk, kStart);
  Crash(guard, 3, kStart);
  BOOST_TEST(!guard.Refuses({.exact = kBad}));
}

// One shard's servers die of a document that only they hold.
BOOST_AUTO_TEST_CASE(ARequestThatCrashesOneShardIsKeptFromThatShard) {
  crash_guard guard;
  for (std::uint64_t server = 1; server <= 3; ++server) {
    guard.OnLost({.identity = {.exact = kBad},
                  .service = kDesk,
                  .incarnation = server,
                  .answers = Answered({kPortal})},
                 kStart);
    static_cast<void>(guard.OnTerminated(server, kStart));
  }
  BOOST_TEST(!guard.Refuses({.exact = kBad}));
  BOOST_TEST(!guard.Refuses({.exact = kBad}, kPortal));
  BOOST_TEST(guard.Refuses({.exact = kBad}, kDesk));
}

BOOST_AUTO_TEST_CASE(PeersAddUpWhatTheySaw) {
  crash_guard first;
  crash_guard second;
  for (std::uint64_t server = 1; server <= 2; ++server) {
    Crash(first, server, kStart);
  }
  Crash(second, 3, kStart);
  const crash_update sum = second.Merge(first.NextReports(kStart), kStart);
  BOOST_TEST(sum.newly_refused.size() == 1U);
  BOOST_TEST(sum.detected_here.size() == 1U);
  BOOST_TEST(
      second.Merge(first.NextReports(kStart), kStart).reportable.empty());
  BOOST_TEST(second.Refuses({.exact = kBad}));
  BOOST_TEST(!first.Refuses({.exact = kBad}));
  const crash_update told = first.Merge(second.NextReports(kStart), kStart);
  BOOST_TEST(told.newly_refused.size() == 1U);
  BOOST_TEST(told.detected_here.empty());
  BOOST_TEST(first.Refuses({.exact = kBad}));
  static_cast<void>(first.NextReports(kStart + std::chrono::hours(1)));
  BOOST_TEST(!first.Refuses({.exact = kBad}));
}

BOOST_AUTO_TEST_CASE(PeersDoNotKeepASuspectAliveByTellingOfIt) {
  crash_guard first;
  crash_guard second;
  for (std::uint64_t server = 1; server <= 3; ++server) {
    Crash(first, server, kStart);
  }
  for (instant now = kStart; now < kStart + 3 * crash_guard::kRetention;
       now = now + milliseconds(500)) {
    static_cast<void>(second.Merge(first.NextReports(now), now));
    static_cast<void>(first.Merge(second.NextReports(now), now));
  }
  BOOST_TEST(!first.Refuses({.exact = kBad}));
  BOOST_TEST(!second.Refuses({.exact = kBad}));
}

BOOST_AUTO_TEST_CASE(MoreSuspectsThanAMessageHoldsAreAllTold) {
  constexpr std::uint64_t kSuspects = 60;
  constexpr int kRounds = 8;  // four seconds of them
  crash_guard first;
  crash_guard second;
  for (std::uint64_t bad = 1; bad <= kSuspects; ++bad) {
    for (std::uint64_t server = 1; server <= 3; ++server) {
      Crash(first, bad * 10 + server, kStart, bad);
    }
  }
  for (int round = 0; round < kRounds; ++round) {
    const auto reports = first.NextReports(kStart);
    BOOST_TEST(reports.size() < kSuspects);
    static_cast<void>(second.Merge(reports, kStart));
  }
  for (std::uint64_t bad = 1; bad <= kSuspects; ++bad) {
    BOOST_TEST(second.Refuses({.exact = bad}), bad);
  }
}

BOOST_AUTO_TEST_CASE(InnocentRequestsDoNotCrowdOutTheOneThatCrashes) {
  crash_guard first;
  crash_guard second;
  for (std::uint64_t innocent = 10; innocent < 200; ++innocent) {
    first.OnLost({.identity = {.exact = innocent},
                  .service = kDesk,
                  .incarnation = 1,
                  .answers = Answered({kPortal})},
                 kStart);
  }
  for (std::uint64_t server = 1; server <= 3; ++server) {
    Crash(first, server, kStart, 1000);
  }
  static_cast<void>(second.Merge(first.NextReports(kStart), kStart));
  BOOST_TEST(second.Refuses({.exact = 1000}));
}

// Instances see parts of what happens, and hear of the rest late, doubled and
// out of order.
// Sends the target to three servers that end of it.
void CrashThree(crash_guard& guard, const std::string& target,
                std::uint64_t round = 0) {
  for (std::uint64_t server = 1; server <= 3; ++server) {
    const std::uint64_t run = round * 10 + server;
    guard.OnLost({.identity = crash_guard::Identify(
                      "GET", target + std::to_string(server), ""),
                  .service = kDesk,
                  .incarnation = run,
                  .answers = Answered()},
                 kStart);
    static_cast<void>(guard.OnTerminated(run, kStart));
  }
}

BOOST_AUTO_TEST_CASE(ARequestThatComesAgainWithAnotherQueryIsKnown) {
  crash_guard guard;
  CrashThree(guard, "/bad?page=");
  BOOST_TEST(guard.Refuses(crash_guard::Identify("GET", "/bad?page=9", "")));
  BOOST_TEST(guard.Refuses(crash_guard::Identify("GET", "/bad", "")));
  BOOST_TEST(!guard.Refuses(crash_guard::Identify("GET", "/good?page=1", "")));
}

// Many queries share a path, and one of them crashes servers.
BOOST_AUTO_TEST_CASE(APathThatIsAnsweredIsNotRefusedForOneOfItsQueries) {
  crash_guard guard;
  guard.OnAnswer(crash_guard::Identify("GET", "/find?q=good", ""), kDesk,
                 kStart);
  CrashThree(guard, "/find?q=", 1);
  BOOST_TEST(!guard.Refuses(crash_guard::Identify("GET", "/find?q=x", "")));
  const request_identity bad = crash_guard::Identify("GET", "/find?q=bad", "");
  for (std::uint64_t server = 50; server < 53; ++server) {
    guard.OnLost({.identity = bad,
                  .service = kDesk,
                  .incarnation = server,
                  .answers = Answered()},
                 kStart);
    static_cast<void>(guard.OnTerminated(server, kStart));
  }
  BOOST_TEST(guard.Refuses(bad));
  BOOST_TEST(!guard.Refuses(crash_guard::Identify("GET", "/find?q=x", "")));
}

BOOST_AUTO_TEST_CASE(WhatPeersTellOfAPathIsWeighedAgainstOwnAnswers) {
  crash_guard first;
  crash_guard second;
  CrashThree(first, "/find?q=");
  const request_identity good = crash_guard::Identify("GET", "/find?q=x", "");
  second.OnAnswer(good, kDesk, kStart);
  static_cast<void>(second.Merge(first.NextReports(kStart), kStart));
  BOOST_TEST(first.Refuses(good));
  BOOST_TEST(!second.Refuses(good));
  static_cast<void>(first.Merge(second.NextReports(kStart), kStart));
  BOOST_TEST(!first.Refuses(good));
}

RC_BOOST_PROP(InstancesAgreeInTheEndAndClearWhatWasAnswered, ()) {
  constexpr std::uint64_t kRequests = 4;
  constexpr std::uint64_t kServices = 3;
  std::array<crash_guard, 3> guards;
  std::vector<std::vector<suspect_report>> messages;
  // Runs that each request ended at each service, as somebody saw them.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::set<std::uint64_t>>
      ended;
  instant now = kStart;
  std::uint64_t last_run = 0;
  // The first request crashes what runs it; others are answered where they
  // were lost before.
  const auto steps = *rc::gen::inRange(1, 120);
  for (int step = 0; step < steps; ++step) {
    now = now + milliseconds(*rc::gen::inRange(0, 200));
    crash_guard& guard = guards.at(*rc::gen::inRange<std::size_t>(0, 3));
    const auto request = *rc::gen::inRange<std::uint64_t>(0, kRequests);
    const auto service = *rc::gen::inRange<std::uint64_t>(0, kServices);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        Crash(guard, ++last_run, now, request, service);
        ended[{request, service}].insert(last_run);
        if (request != 0) guard.OnAnswer({.exact = request}, service, kStart);
        break;
      case 1:
        messages.push_back(guard.NextReports(now));
        break;
      case 2:
        if (messages.empty()) break;
        static_cast<void>(guard.Merge(
            messages.at(*rc::gen::inRange<std::size_t>(0, messages.size())),
            now));
        break;
      default:
        if (request != 0) guard.OnAnswer({.exact = request}, service, kStart);
    }
  }
  for (int round = 0; round < 6; ++round) {
    for (crash_guard& from : guards) {
      const auto reports = from.NextReports(now);
      for (crash_guard& to : guards) static_cast<void>(to.Merge(reports, now));
    }
  }
  std::size_t crashed = 0;
  for (const auto& [at, runs] : ended) {
    if (at.first == 0) crashed += runs.size();
  }
  for (const crash_guard& each : guards) {
    RC_ASSERT(each.Refuses({.exact = 0}) ==
              (crashed >= crash_guard::kCrashesToRefuse));
    for (std::uint64_t request = 1; request < kRequests; ++request) {
      RC_ASSERT(!each.Refuses({.exact = request}));
      for (std::uint64_t service = 0; service < kServices; ++service) {
        RC_ASSERT(!each.Refuses({.exact = request}, service));
      }
    }
  }
}

// Answers checks as a script says.
class checked_sender : public request_sender {
 public:
  std::uint64_t Send(const listed_server&, unsigned, bool, backend_request,
                     reply_handler) override {
    return 0;
  }
  bool HasRoom(const listed_server&, unsigned) const override { return true; }
  void Check(const listed_server&, listen_check::handler done) override {
    done(script.at(checks++));
  }
  void Abandon(std::uint64_t) override {}

  std::vector<listen_state> script;
  std::size_t checks = 0;
};

std::size_t EndedFor(std::vector<listen_state> script, int losses = 1) {
  event_loop loop;
  checked_sender sender;
  sender.script = std::move(script);
  std::size_t ended = 0;
  crash_confirmer confirmer(loop, sender,
                            [&ended](const listed_server&) { ++ended; });
  const auto server = std::make_shared<listed_server>();
  for (int i = 0; i < losses; ++i) confirmer.OnLost(server);
  loop.After(2 * crash_confirmer::kCheckDelays.back(),
             [&loop] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(sender.checks == sender.script.size());
  return ended;
}

BOOST_AUTO_TEST_CASE(ACrashIsConfirmedWithoutAnotherRequest) {
  BOOST_TEST(EndedFor({listen_state::kRefuses}) == 1U);
  BOOST_TEST(EndedFor({listen_state::kRefuses}, 5) == 1U);
  BOOST_TEST(EndedFor({listen_state::kListens, listen_state::kRefuses}) == 1U);
}

BOOST_AUTO_TEST_CASE(AServerThatListensOrIsSilentHasNotEnded) {
  BOOST_TEST(EndedFor({listen_state::kListens, listen_state::kListens}) == 0U);
  BOOST_TEST(EndedFor({listen_state::kUnclear, listen_state::kUnclear}) == 0U);
}

}  // namespace
}  // namespace basilhoist
