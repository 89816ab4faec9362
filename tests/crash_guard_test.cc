// Tests that requests that crash servers are distinguished from requests that
// were merely in flight when a server crashed.
#include "basilhoist/dispatch/crash_guard.h"

#include <rapidcheck/boost_test.h>

#include <array>
#include <boost/test/unit_test.hpp>

#include "basilhoist/dispatch/crash_confirmer.h"

namespace basilhoist {
namespace {

const instant kStart{std::chrono::seconds(1000)};
constexpr std::uint64_t kCrashing = 7;  // fingerprint of a request
constexpr std::uint64_t kDesk = 100;    // hashes of services
constexpr std::uint64_t kPortal = 101;

std::shared_ptr<request_answers> AnswersOf(
    std::vector<std::uint64_t> services = {}) {
  return std::make_shared<request_answers>(
      request_answers{.services = std::move(services)});
}

lost_send LostSend(std::uint64_t incarnation,
                   std::uint64_t fingerprint = kCrashing,
                   std::uint64_t service = kDesk) {
  return {.identity = {.exact = fingerprint},
          .service = service,
          .incarnation = incarnation,
          .answers = AnswersOf()};
}

// Loses a send of the request at an incarnation, which then terminates.
void Crash(crash_guard& guard, std::uint64_t incarnation, instant now,
           std::uint64_t fingerprint = kCrashing,
           std::uint64_t service = kDesk) {
  guard.OnLost(LostSend(incarnation, fingerprint, service), now);
  static_cast<void>(guard.OnTerminated(incarnation, now));
}

BOOST_AUTO_TEST_CASE(ARequestThatCrashedThreeServersIsRefused) {
  crash_guard guard;
  const request_identity crashing = crash_guard::Identify("GET", "/bad", "");
  for (std::uint64_t server = 1; server <= 3; ++server) {
    BOOST_TEST(!guard.Refuses(crashing));
    guard.OnLost(LostSend(server, crashing.exact), kStart);
    const crash_update update =
        guard.OnTerminated(server, kStart + milliseconds(100));
    BOOST_TEST(update.reportable.size() == 1U);
    BOOST_TEST(update.newly_refused.size() == (server == 3 ? 1U : 0U));
  }
  BOOST_TEST(guard.Refuses(crashing));
  BOOST_TEST(guard.Refuses(crashing, kPortal));
  BOOST_TEST(!guard.Refuses(crash_guard::Identify("GET", "/bad", "x")));
  BOOST_TEST(!guard.Refuses(crash_guard::Identify("POST", "/bad", "")));
}

BOOST_AUTO_TEST_CASE(ALostReplyIsNotACrash) {
  crash_guard guard;
  for (std::uint64_t server = 1; server <= 9; ++server) {
    guard.OnLost(LostSend(server), kStart);
    // The server terminates for another reason, after the confirmation window.
    const instant later =
        kStart + crash_guard::kConfirmationWindow + milliseconds(1);
    BOOST_TEST(guard.OnTerminated(server, later).reportable.empty());
  }
  BOOST_TEST(!guard.Refuses({.exact = kCrashing}));
}

BOOST_AUTO_TEST_CASE(CrashesOfOneServerCountOnce) {
  crash_guard guard;
  for (int i = 0; i < 5; ++i) Crash(guard, 1, kStart);
  BOOST_TEST(!guard.Refuses({.exact = kCrashing}));
}

// A fan-out has sends in flight at all servers of a failure domain that fails,
// and replies from other servers.
BOOST_AUTO_TEST_CASE(ARequestWithAnswersIsNotRefusedAfterADomainFailure) {
  crash_guard guard;
  const auto answers = AnswersOf();
  for (std::uint64_t shard = 1; shard <= 20; ++shard) {
    guard.OnLost({.identity = {.exact = kCrashing},
                  .service = shard,
                  .incarnation = shard,
                  .answers = answers},
                 kStart);
  }
  answers->services.push_back(21);
  for (std::uint64_t server = 1; server <= 20; ++server) {
    static_cast<void>(guard.OnTerminated(server, kStart));
  }
  BOOST_TEST(!guard.Refuses({.exact = kCrashing}));
  BOOST_TEST(!guard.Refuses({.exact = kCrashing}, 1));
}

BOOST_AUTO_TEST_CASE(AnAnswerAfterTheCrashClearsTheRequest) {
  crash_guard guard;
  Crash(guard, 1, kStart);
  Crash(guard, 2, kStart);
  guard.OnAnswer({.exact = kCrashing}, kDesk, kStart);
  Crash(guard, 3, kStart);
  BOOST_TEST(!guard.Refuses({.exact = kCrashing}));
}

// The servers of one shard crash on a document that only they have.
BOOST_AUTO_TEST_CASE(ARequestThatCrashesOneShardIsRefusedForThatShardOnly) {
  crash_guard guard;
  for (std::uint64_t server = 1; server <= 3; ++server) {
    guard.OnLost({.identity = {.exact = kCrashing},
                  .service = kDesk,
                  .incarnation = server,
                  .answers = AnswersOf({kPortal})},
                 kStart);
    static_cast<void>(guard.OnTerminated(server, kStart));
  }
  BOOST_TEST(!guard.Refuses({.exact = kCrashing}));
  BOOST_TEST(!guard.Refuses({.exact = kCrashing}, kPortal));
  BOOST_TEST(guard.Refuses({.exact = kCrashing}, kDesk));
}

BOOST_AUTO_TEST_CASE(CrashesSeenByDifferentPeersAddUp) {
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
  BOOST_TEST(second.Refuses({.exact = kCrashing}));
  BOOST_TEST(!first.Refuses({.exact = kCrashing}));
  const crash_update reported = first.Merge(second.NextReports(kStart), kStart);
  BOOST_TEST(reported.newly_refused.size() == 1U);
  BOOST_TEST(reported.detected_here.empty());
  BOOST_TEST(first.Refuses({.exact = kCrashing}));
  static_cast<void>(first.NextReports(kStart + std::chrono::hours(1)));
  BOOST_TEST(!first.Refuses({.exact = kCrashing}));
}

BOOST_AUTO_TEST_CASE(ReportsBetweenPeersDoNotExtendTheRetention) {
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
  BOOST_TEST(!first.Refuses({.exact = kCrashing}));
  BOOST_TEST(!second.Refuses({.exact = kCrashing}));
}

BOOST_AUTO_TEST_CASE(SuspectsBeyondOneMessageAreAllReported) {
  constexpr std::uint64_t kSuspects = 60;
  constexpr int kRounds = 8;  // four seconds of messages
  crash_guard first;
  crash_guard second;
  for (std::uint64_t fingerprint = 1; fingerprint <= kSuspects; ++fingerprint) {
    for (std::uint64_t server = 1; server <= 3; ++server) {
      Crash(first, fingerprint * 10 + server, kStart, fingerprint);
    }
  }
  for (int round = 0; round < kRounds; ++round) {
    const auto reports = first.NextReports(kStart);
    BOOST_TEST(reports.size() < kSuspects);
    static_cast<void>(second.Merge(reports, kStart));
  }
  for (std::uint64_t fingerprint = 1; fingerprint <= kSuspects; ++fingerprint) {
    BOOST_TEST(second.Refuses({.exact = fingerprint}), fingerprint);
  }
}

BOOST_AUTO_TEST_CASE(AnsweredRequestsDoNotDelayTheReportOfACrashingOne) {
  crash_guard first;
  crash_guard second;
  for (std::uint64_t answered = 10; answered < 200; ++answered) {
    first.OnLost({.identity = {.exact = answered},
                  .service = kDesk,
                  .incarnation = 1,
                  .answers = AnswersOf({kPortal})},
                 kStart);
  }
  for (std::uint64_t server = 1; server <= 3; ++server) {
    Crash(first, server, kStart, 1000);
  }
  static_cast<void>(second.Merge(first.NextReports(kStart), kStart));
  BOOST_TEST(second.Refuses({.exact = 1000}));
}

// Sends the target, with a different query each time, to three servers that
// crash on it.
void CrashThree(crash_guard& guard, const std::string& target,
                std::uint64_t round = 0) {
  for (std::uint64_t server = 1; server <= 3; ++server) {
    const std::uint64_t incarnation = round * 10 + server;
    guard.OnLost({.identity = crash_guard::Identify(
                      "GET", target + std::to_string(server), ""),
                  .service = kDesk,
                  .incarnation = incarnation,
                  .answers = AnswersOf()},
                 kStart);
    static_cast<void>(guard.OnTerminated(incarnation, kStart));
  }
}

BOOST_AUTO_TEST_CASE(ARequestIsRecognizedWithAnotherQuery) {
  crash_guard guard;
  CrashThree(guard, "/bad?page=");
  BOOST_TEST(guard.Refuses(crash_guard::Identify("GET", "/bad?page=9", "")));
  BOOST_TEST(guard.Refuses(crash_guard::Identify("GET", "/bad", "")));
  BOOST_TEST(!guard.Refuses(crash_guard::Identify("GET", "/good?page=1", "")));
}

// Many queries share a path, and only one of them crashes servers.
BOOST_AUTO_TEST_CASE(APathThatIsAnsweredIsNotRefusedForOneOfItsQueries) {
  crash_guard guard;
  guard.OnAnswer(crash_guard::Identify("GET", "/find?q=good", ""), kDesk,
                 kStart);
  CrashThree(guard, "/find?q=", 1);
  BOOST_TEST(!guard.Refuses(crash_guard::Identify("GET", "/find?q=x", "")));
  const request_identity crashing =
      crash_guard::Identify("GET", "/find?q=bad", "");
  for (std::uint64_t server = 50; server < 53; ++server) {
    guard.OnLost({.identity = crashing,
                  .service = kDesk,
                  .incarnation = server,
                  .answers = AnswersOf()},
                 kStart);
    static_cast<void>(guard.OnTerminated(server, kStart));
  }
  BOOST_TEST(guard.Refuses(crashing));
  BOOST_TEST(!guard.Refuses(crash_guard::Identify("GET", "/find?q=x", "")));
}

BOOST_AUTO_TEST_CASE(OwnAnswersOverrideAPeersReportOfAPath) {
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

// Each instance sees only some of the crashes and replies, and receives the
// reports of the others late, duplicated and out of order.
RC_BOOST_PROP(InstancesConvergeAndClearAnsweredRequests, ()) {
  constexpr std::uint64_t kRequests = 4;
  constexpr std::uint64_t kServices = 3;
  std::array<crash_guard, 3> guards;
  std::vector<std::vector<suspect_report>> messages;
  // Incarnations that each request has crashed at each service, as seen by any
  // instance.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::set<std::uint64_t>>
      crashed_incarnations;
  instant now = kStart;
  std::uint64_t last_incarnation = 0;
  // Request 0 crashes every server that runs it. The other requests are
  // answered by the service where they were lost.
  const auto steps = *rc::gen::inRange(1, 120);
  for (int step = 0; step < steps; ++step) {
    now = now + milliseconds(*rc::gen::inRange(0, 200));
    crash_guard& guard = guards.at(*rc::gen::inRange<std::size_t>(0, 3));
    const auto request = *rc::gen::inRange<std::uint64_t>(0, kRequests);
    const auto service = *rc::gen::inRange<std::uint64_t>(0, kServices);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        Crash(guard, ++last_incarnation, now, request, service);
        crashed_incarnations[{request, service}].insert(last_incarnation);
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
  for (const auto& [at, incarnations] : crashed_incarnations) {
    if (at.first == 0) crashed += incarnations.size();
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

// Answers the listen checks from a script.
class scripted_check_sender : public request_sender {
 public:
  std::uint64_t Send(const listed_server&, unsigned, bool, backend_request,
                     reply_handler) override {
    return 0;
  }
  bool CanSend(const listed_server&, unsigned) const override { return true; }
  void CheckListening(const listed_server&,
                      listen_check::handler done) override {
    done(script.at(checks++));
  }
  void Abandon(std::uint64_t) override {}

  std::vector<listen_state> script;
  std::size_t checks = 0;
};

// Returns how many terminations the confirmer reports after lost sends at one
// server, if the checks have the results of the script.
std::size_t TerminationsFor(std::vector<listen_state> script, int losses = 1) {
  event_loop loop;
  scripted_check_sender sender;
  sender.script = std::move(script);
  std::size_t terminations = 0;
  crash_confirmer confirmer(
      loop, sender,
      [&terminations](const listed_server_ptr&) { ++terminations; });
  const auto server = std::make_shared<listed_server>();
  for (int i = 0; i < losses; ++i) confirmer.OnLost(server);
  loop.After(2 * crash_confirmer::kCheckDelays.back(),
             [&loop] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(sender.checks == sender.script.size());
  return terminations;
}

BOOST_AUTO_TEST_CASE(ACrashIsConfirmedWithoutFurtherRequests) {
  BOOST_TEST(TerminationsFor({listen_state::kRefused}) == 1U);
  BOOST_TEST(TerminationsFor({listen_state::kRefused}, 5) == 1U);
  BOOST_TEST(TerminationsFor(
                 {listen_state::kListening, listen_state::kRefused}) == 1U);
}

BOOST_AUTO_TEST_CASE(AServerThatListensOrDoesNotRespondHasNotTerminated) {
  BOOST_TEST(TerminationsFor(
                 {listen_state::kListening, listen_state::kListening}) == 0U);
  BOOST_TEST(
      TerminationsFor({listen_state::kUnknown, listen_state::kUnknown}) == 0U);
}

}  // namespace
}  // namespace basilhoist
