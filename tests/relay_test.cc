// Batches of shards through other instances: what is planned, and what becomes
// of a batch whose relay is silent, broken or late.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "basilhoist/link/codec.h"
#include "basilhoist/relay/relay_client.h"
#include "basilhoist/relay/relay_plan.h"
#include "basilhoist/relay/relay_server.h"
#include "free_port.h"

namespace basilhoist {
namespace {

RC_BOOST_PROP(EachShardIsInOneBatchAtMostAndWhereItsServersStand, ()) {
  const std::vector<std::string> domains = {"a", "b", "c", "d", "e"};
  const auto domain_set = [&domains] {
    std::set<std::string> chosen;
    for (const auto& each : domains) {
      if (*rc::gen::inRange(0, 3) == 0) chosen.insert(each);
    }
    return chosen;
  };
  std::vector<shard_place> places(*rc::gen::inRange<std::size_t>(0, 40));
  for (shard_place& each : places) each.failure_domains = domain_set();
  const auto relays = domain_set();
  const std::string own = "a";
  std::set<std::size_t> seen;
  for (const relay_batch& batch :
       PlanRelays(places, own, relays, *rc::gen::inRange<std::size_t>(0, 9))) {
    RC_ASSERT(relays.contains(batch.failure_domain));
    RC_ASSERT(batch.shards.size() >= 3U);
    for (const std::size_t shard : batch.shards) {
      RC_ASSERT(seen.insert(shard).second);
      const auto& where = places.at(shard).failure_domains;
      RC_ASSERT(where.contains(batch.failure_domain));
      RC_ASSERT(!where.contains(own) || batch.failure_domain == own);
    }
  }
}

BOOST_AUTO_TEST_CASE(FewDomainsAreCrossedTo) {
  // Two replicas each in three far domains: two batches reach all of them.
  std::vector<shard_place> places;
  for (int i = 0; i < 4; ++i) {
    places.push_back({{"b", "c"}});
    places.push_back({{"c", "d"}});
    places.push_back({{"b", "d"}});
  }
  const auto batches = PlanRelays(places, "a", {"b", "c", "d"}, 0);
  BOOST_REQUIRE(batches.size() == 2U);
  BOOST_TEST(batches[0].shards.size() + batches[1].shards.size() == 12U);
}

// Backend servers that answer when the test says so.
class fake_sender : public request_sender {
 public:
  std::uint64_t Send(const listed_server& server, unsigned, bool,
                     backend_request, reply_handler done) override {
    sent.push_back({server.info.id, std::move(done)});
    return sent.size();
  }
  bool HasRoom(const listed_server&, unsigned) const override { return true; }
  void Check(const listed_server&, listen_check::handler) override {}
  void Abandon(std::uint64_t) override { ++abandoned; }

  struct sent_request {
    std::string server;
    reply_handler done;
  };
  std::vector<sent_request> sent;
  int abandoned = 0;
};

struct fixture {
  event_loop loop;
  fake_sender sender;
  server_directory directory;
  dispatcher shared{
      loop, sender, directory, {.names = {.signature = "X-Proof"}}};
  relay_server server{shared};
  endpoint where = FreeEndpoint();
  bool mute = false;
  std::unique_ptr<relay_links> far = MakeFar();
  std::unique_ptr<relay_client> client;
  relay_links near{
      loop,
      FreeEndpoint(),
      {.on_request = [](const auto&, frame_kind, std::string_view) {},
       .on_gone = [](const frame_link*) {},
       .on_reply =
           [this](const endpoint& relay, frame_kind kind,
                  std::string_view bytes) {
             client->OnReply(relay, kind, bytes);
           },
       .on_lost = [this](const endpoint& relay) { client->OnLost(relay); }}};
  std::vector<relay_update> updates;
  int lost = 0;

  fixture() {
    client = std::make_unique<relay_client>(
        loop, near,
        relay_client_options{.failure_domain = "a", .cpu_cores = 1});
    client->SetPeers({{.relay = where, .failure_domain = "b", .cpu_cores = 1}});
    std::vector<backend_server> servers;
    for (const char* name : {"s1", "s2", "s3"}) {
      servers.push_back({.id = name,
                         .service = name,
                         .address = {.address = name},
                         .slots = 2});
    }
    directory.Apply(servers, Now());
  }

  static endpoint FreeEndpoint() {
    return {.address = "127.0.0.1", .port = test::FreePort()};
  }

  static relay_peer Peer(std::uint16_t port, const char* domain, double share) {
    return {.relay = {.address = "127.0.0.1", .port = port},
            .failure_domain = domain,
            .cpu_cores = share};
  }

  std::unique_ptr<relay_links> MakeFar() {
    return std::make_unique<relay_links>(
        loop, where,
        relay_links::handlers{
            .on_request =
                [this](const auto& link, frame_kind kind,
                       std::string_view bytes) {
                  if (!mute) server.OnFrame(link, kind, bytes);
                },
            .on_gone = [this](const frame_link* link) { server.OnGone(link); },
            .on_reply = [](const endpoint&, frame_kind, std::string_view) {},
            .on_lost = [](const endpoint&) {}});
  }

  std::uint64_t Send(int objective_ms = 200) {
    outbound_request request;
    request.head = "GET / HTTP/1.1\r\n";
    request.body = std::make_shared<const std::string>();
    request.idempotent = true;
    request.max_attempts = 1;
    request.objective = milliseconds(objective_ms);
    request.objective_at = Now() + milliseconds(objective_ms);
    request.deadline = Now() + milliseconds(1000);
    return client->Send(
        client->Choose("b", 3, 0).at(0), request, 2, {"s1", "s2", "s3"},
        {.on_update = [this](const relay_update& u) { updates.push_back(u); },
         .on_lost = [this] { ++lost; }});
  }

  void Answer(std::size_t number, const std::string& body) {
    sender.sent.at(number).done(
        {.sent = true,
         .status = 200,
         .headers = {{"X-Proof", "p" + std::to_string(number)}},
         .body = body});
  }

  // Waits as long as a busy machine needs; the checks are about order.
  void RunUntil(const std::function<bool()>& reached) {
    const instant give_up = Now() + std::chrono::seconds(5);
    while (!reached() && Now() < give_up) RunFor(1);
    BOOST_REQUIRE(reached());
  }

  void RunUntilSent(std::size_t count) {
    RunUntil([this, count] { return sender.sent.size() >= count; });
  }

  void RunFor(int ms) {
    loop.After(milliseconds(ms), [this] { loop.Stop(); });
    loop.Run();
  }
};

BOOST_FIXTURE_TEST_CASE(ABatchComesBackMergedWhenAllIsIn, fixture) {
  Send(2000);
  RunUntilSent(3);
  Answer(0, std::string(16, 'a'));
  Answer(1, std::string(16, 'c'));
  RunFor(15);
  BOOST_TEST(updates.empty());
  Answer(2, std::string(16, 'b'));
  RunUntil([this] { return !updates.empty(); });
  BOOST_TEST(updates.size() == 1U);
  BOOST_TEST(updates[0].parts.size() == 3U);
  BOOST_TEST(updates[0].records == std::string(16, 'c') + std::string(16, 'b'));
  BOOST_TEST(lost == 0);
  BOOST_TEST(server.InFlight() == 0U);
}

BOOST_FIXTURE_TEST_CASE(WhatIsInLeavesAtTheObjective, fixture) {
  Send(300);
  RunUntilSent(3);
  Answer(0, std::string(16, 'a'));
  RunUntil([this] { return !updates.empty(); });
  BOOST_TEST(updates[0].parts.size() == 1U);
  Answer(1, std::string(16, 'b'));
  RunUntil([this] { return updates.size() == 2; });
  // Only the new part, so that no record is told twice.
  BOOST_TEST(updates[1].records == std::string(16, 'b'));
}

BOOST_FIXTURE_TEST_CASE(ASilentRelayIsGivenUpSoon, fixture) {
  mute = true;
  const instant began = Now();
  Send();
  RunUntil([this] { return lost > 0; });
  BOOST_TEST(lost == 1);
  BOOST_TEST((Now() - began >= relay_client::kTakenWithin));
  BOOST_TEST((client->Choose("b", 3, 0).empty()));
  BOOST_TEST(client->Domains().empty());
  RunFor(1050);
  BOOST_TEST((!client->Choose("b", 3, 0).empty()));
}

BOOST_FIXTURE_TEST_CASE(ARelayThatEndsLosesItsBatches, fixture) {
  Send(2000);
  RunUntilSent(3);
  far.reset();
  RunUntil([this] { return lost > 0; });
  BOOST_TEST(lost == 1);
  BOOST_TEST(updates.empty());
}

// A relay that wakes up answers batches that were sent elsewhere meanwhile;
// taking those parts again would count records twice.
BOOST_FIXTURE_TEST_CASE(UpdatesOfALostBatchAreDropped, fixture) {
  mute = true;
  const std::uint64_t id = Send();
  RunUntil([this] { return lost > 0; });
  client->OnReply(where, frame_kind::kRelayUpdate,
                  Encode(relay_update{.id = id, .parts = {{.shard = 0}}}));
  BOOST_TEST(updates.empty());
}

// Replays quetzal's trouble-1: a relay that was cut from the store did not know
// the services of a new routing table, and whole requests failed.
BOOST_FIXTURE_TEST_CASE(ShardsThatTheRelayDoesNotKnowComeBackAtOnce, fixture) {
  directory.Apply({{.id = "s1", .service = "s1", .slots = 2}}, Now());
  directory.Expire(Now() + std::chrono::seconds(9));
  Send(2000);
  RunUntil([this] { return !updates.empty(); });
  BOOST_TEST(updates[0].not_sent == (std::vector<std::uint32_t>{1, 2}));
  BOOST_TEST(updates[0].failed.empty());
  Answer(0, std::string(16, 'a'));
  RunUntil([this] { return updates.size() == 2; });
  BOOST_TEST(updates[1].parts.size() == 1U);
  BOOST_TEST(server.InFlight() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ACancelledBatchEndsAtTheRelay, fixture) {
  const std::uint64_t id = Send(2000);
  RunUntilSent(3);
  BOOST_TEST(server.InFlight() == 1U);
  client->Cancel(id);
  RunUntil([this] { return server.InFlight() == 0; });
  BOOST_TEST(sender.abandoned == 3);
}

// The sender would send it directly, and may not know yet.
BOOST_FIXTURE_TEST_CASE(WhatARelayKeepsOutIsNotHandedBack, fixture) {
  for (std::uint64_t run = 1; run <= crash_guard::kCrashesToRefuse; ++run) {
    shared.crashes.OnLost({.identity = {.exact = 0},
                           .service = crash_guard::ServiceHash("s1"),
                           .incarnation = run,
                           .answers = std::make_shared<request_answers>()},
                          Now());
    static_cast<void>(shared.crashes.OnTerminated(run, Now()));
  }
  Send();
  const auto failed = [this] {
    std::size_t count = 0;
    for (const relay_update& each : updates) count += each.failed.size();
    return count;
  };
  RunUntil([&failed] { return failed() == 3; });
  BOOST_TEST(sender.sent.empty());
  for (const relay_update& each : updates) {
    BOOST_TEST(each.not_sent.empty());
    BOOST_TEST(!each.may_have_run);
  }
}

BOOST_AUTO_TEST_CASE(NearShardsAreRelayedOnlyWhereTheOwnDomainIsAmongThem) {
  std::vector<shard_place> places(4, {{"a", "b"}});
  places.push_back({{"b"}});
  BOOST_TEST(PlanRelays(places, "a", {"b"}, 0).empty());
  const auto batches = PlanRelays(places, "a", {"a", "b"}, 0);
  BOOST_REQUIRE(batches.size() == 1U);
  BOOST_TEST(batches[0].failure_domain == "a");
  BOOST_TEST(batches[0].shards.size() == 4U);
}

// The load of the grown site: a fan-out over 90 shards from an instance that
// has a fourth of the processor time of a few others.
BOOST_FIXTURE_TEST_CASE(MuchStrongerInstancesGetTheWork, fixture) {
  client->SetPeers({Peer(1, "a", 1), Peer(2, "a", 4), Peer(3, "a", 4),
                    Peer(4, "b", 1), Peer(5, "b", 4)});
  for (std::size_t turn = 0; turn < 4; ++turn) {
    const auto divided = client->Choose("a", 90, turn);
    BOOST_REQUIRE(divided.size() == 2U);
    BOOST_TEST(divided[0].relay.port != divided[1].relay.port);
    for (const relay_peer& each : divided) {
      BOOST_TEST(each.cpu_cores == 4);
    }
    BOOST_TEST(client->Choose("a", 10, turn).size() == 1U);
    BOOST_TEST(client->Choose("b", 90, turn).at(0).relay.port == 5);
  }
}

BOOST_FIXTURE_TEST_CASE(AmongEqualsNearShardsStay, fixture) {
  client->SetPeers({Peer(1, "a", 1), Peer(2, "a", 1.5), Peer(3, "b", 1)});
  BOOST_TEST(client->Domains() == std::set<std::string>{"b"});
  BOOST_TEST(client->Choose("a", 90, 0).empty());
}

}  // namespace
}  // namespace basilhoist
