// Tests of relays: how shards are grouped into batches, how results are merged,
// and how the sender handles a relay that does not answer, disconnects or
// answers late.
#include <rapidcheck/boost_test.h>

#include <atomic>
#include <boost/test/unit_test.hpp>

#include "basilhoist/link/codec.h"
#include "basilhoist/relay/relay_client.h"
#include "basilhoist/relay/relay_plan.h"
#include "basilhoist/relay/relay_server.h"
#include "free_port.h"
#include "scripted_server.h"

namespace basilhoist {
namespace {

RC_BOOST_PROP(EachShardIsInAtMostOneBatchAndInADomainOfItsServers, ()) {
  const std::vector<std::string> domains = {"a", "b", "c", "d", "e"};
  const auto domain_set = [&domains] {
    std::set<std::string> chosen;
    for (const auto& domain : domains) {
      if (*rc::gen::inRange(0, 3) == 0) chosen.insert(domain);
    }
    return chosen;
  };
  std::vector<shard_location> locations(*rc::gen::inRange<std::size_t>(0, 40));
  for (shard_location& each : locations) each.failure_domains = domain_set();
  const auto relay_domains = domain_set();
  const std::string local_domain = "a";
  std::set<std::size_t> seen;
  for (const relay_batch& batch :
       PlanRelayBatches(locations, local_domain, relay_domains,
                        *rc::gen::inRange<std::size_t>(0, 9))) {
    RC_ASSERT(relay_domains.contains(batch.failure_domain));
    RC_ASSERT(batch.shards.size() >= 3U);
    for (const std::size_t shard : batch.shards) {
      RC_ASSERT(seen.insert(shard).second);
      const auto& server_domains = locations.at(shard).failure_domains;
      RC_ASSERT(server_domains.contains(batch.failure_domain));
      RC_ASSERT(!server_domains.contains(local_domain) ||
                batch.failure_domain == local_domain);
    }
  }
}

BOOST_AUTO_TEST_CASE(RequestCrossesIntoFewDomains) {
  // Each shard has replicas in two of three remote domains, so two batches
  // cover all shards.
  std::vector<shard_location> locations;
  for (int i = 0; i < 4; ++i) {
    locations.push_back({{"b", "c"}});
    locations.push_back({{"c", "d"}});
    locations.push_back({{"b", "d"}});
  }
  const auto batches = PlanRelayBatches(locations, "a", {"b", "c", "d"}, 0);
  BOOST_REQUIRE(batches.size() == 2U);
  BOOST_TEST(batches[0].shards.size() + batches[1].shards.size() == 12U);
}

// Records sends to backend servers; the test completes each of them.
class fake_sender : public request_sender {
 public:
  std::uint64_t Send(const listed_server& server, unsigned, bool,
                     backend_request, reply_handler done) override {
    sent.push_back({server.info.id, std::move(done)});
    return sent.size();
  }
  bool CanSend(const listed_server&, unsigned) const override { return true; }
  void CheckListening(const listed_server&, listen_check::handler) override {}
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
  dispatcher dispatch{
      loop,
      sender,
      directory,
      {.names = {.signature = "X-Proof", .shutting_down = "X-Leaving"}}};
  relay_server server{dispatch};
  endpoint relay_address = FreeEndpoint();
  bool relay_silent = false;  // the relay ignores all frames
  std::unique_ptr<relay_links> relay_side_links = MakeRelaySideLinks();
  std::unique_ptr<relay_client> client;
  relay_links sender_side_links{
      loop,
      FreeEndpoint(),
      {.on_request = [](const auto&, frame_kind, std::string_view) {},
       .on_sender_disconnected = [](const frame_link*) {},
       .on_reply =
           [this](const endpoint& relay, frame_kind kind,
                  std::string_view bytes) {
             client->OnReply(relay, kind, bytes);
           },
       .on_relay_disconnected =
           [this](const endpoint& relay) { client->OnDisconnect(relay); }}};
  std::vector<relay_update> updates;
  std::vector<rate_limit_report> limits;
  int lost_batches = 0;

  fixture() {
    client = std::make_unique<relay_client>(
        loop, sender_side_links,
        relay_client_options{.failure_domain = "a", .cpu_cores = 1});
    client->SetPeers(
        {{.address = relay_address, .failure_domain = "b", .cpu_cores = 1}});
    client->OnRateLimit([this](const rate_limit_report& limit) {
      BOOST_TEST(updates.empty());
      limits.push_back(limit);
    });
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

  static relay_peer Peer(std::uint16_t port, const char* domain,
                         double cpu_cores) {
    return {.address = {.address = "127.0.0.1", .port = port},
            .failure_domain = domain,
            .cpu_cores = cpu_cores};
  }

  std::unique_ptr<relay_links> MakeRelaySideLinks() {
    return std::make_unique<relay_links>(
        loop, relay_address,
        relay_links::handlers{
            .on_request =
                [this](const auto& link, frame_kind kind,
                       std::string_view bytes) {
                  if (!relay_silent) server.OnFrame(link, kind, bytes);
                },
            .on_sender_disconnected =
                [this](const frame_link* link) { server.OnDisconnect(link); },
            .on_reply = [](const endpoint&, frame_kind, std::string_view) {},
            .on_relay_disconnected = [](const endpoint&) {}});
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
        client->ChooseRelays("b", 3, 0).at(0), request, 2, {"s1", "s2", "s3"},
        {.on_update =
             [this](const relay_update& update) { updates.push_back(update); },
         .on_lost = [this](const auto&) { ++lost_batches; }});
  }

  void Reply(std::size_t number, const std::string& body) {
    sender.sent.at(number).done(
        {.sent = true,
         .status = 200,
         .headers = {{"X-Proof", "p" + std::to_string(number)}},
         .body = body});
  }

  // The limit of 5 s allows for a busy host; the checks depend on the order of
  // events, not on their time.
  void RunUntil(const std::function<bool()>& reached) {
    const instant deadline = Now() + std::chrono::seconds(5);
    while (!reached() && Now() < deadline) RunFor(1);
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

BOOST_FIXTURE_TEST_CASE(BatchIsReturnedMergedOnceAllShardsHaveReplied,
                        fixture) {
  Send(2000);
  RunUntilSent(3);
  Reply(0, std::string(16, 'a'));
  Reply(1, std::string(16, 'c'));
  RunFor(15);
  BOOST_TEST(updates.empty());
  Reply(2, std::string(16, 'b'));
  RunUntil([this] { return !updates.empty(); });
  BOOST_TEST(updates.size() == 1U);
  BOOST_TEST(updates[0].parts.size() == 3U);
  BOOST_TEST(updates[0].records == std::string(16, 'c') + std::string(16, 'b'));
  BOOST_TEST(lost_batches == 0);
  BOOST_TEST(server.InFlight() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ResultsSoFarAreReturnedAtTheObjective, fixture) {
  Send(300);
  RunUntilSent(3);
  Reply(0, std::string(16, 'a'));
  RunUntil([this] { return !updates.empty(); });
  BOOST_TEST(updates[0].parts.size() == 1U);
  Reply(1, std::string(16, 'b'));
  RunUntil([this] { return updates.size() == 2; });
  // The second update has only the new records, so that none is counted twice.
  BOOST_TEST(updates[1].records == std::string(16, 'b'));
}

BOOST_FIXTURE_TEST_CASE(SilentRelayLosesItsBatchAndIsNotUsedDuringBackoff,
                        fixture) {
  relay_silent = true;
  const instant start = Now();
  Send();
  RunUntil([this] { return lost_batches > 0; });
  BOOST_TEST(lost_batches == 1);
  BOOST_TEST((Now() - start >= relay_client::kAcceptTimeout));
  BOOST_TEST((client->ChooseRelays("b", 3, 0).empty()));
  BOOST_TEST(client->UsableDomains().empty());
  RunFor(1050);
  BOOST_TEST((!client->ChooseRelays("b", 3, 0).empty()));
}

BOOST_FIXTURE_TEST_CASE(DisconnectedRelayLosesItsBatches, fixture) {
  Send(2000);
  RunUntilSent(3);
  relay_side_links.reset();
  RunUntil([this] { return lost_batches > 0; });
  BOOST_TEST(lost_batches == 1);
  BOOST_TEST(updates.empty());
}

// The sender passes on answers whose headers only the relay has seen. It must
// not send to a server itself that announced its shutdown in one of them.
BOOST_FIXTURE_TEST_CASE(ShutdownNoticesReachTheSenderWithTheAnswers, fixture) {
  Send(2000);
  RunUntilSent(3);
  Reply(0, std::string(16, 'a'));
  sender.sent.at(1).done({.sent = true,
                          .status = 200,
                          .headers = {{"X-Proof", "p1"}, {"X-Leaving", "1"}}});
  Reply(2, std::string(16, 'b'));
  RunUntil([this] { return !updates.empty(); });
  BOOST_TEST(updates[0].parts.size() == 3U);
  BOOST_REQUIRE(updates[0].notices.size() == 1U);
  BOOST_TEST(updates[0].notices[0].leaving);
  const auto& leaving = directory.ServersOf(sender.sent.at(1).server);
  BOOST_TEST(updates[0].notices[0].run == leaving.at(0)->incarnation);
}

// While a path is cut, the kernel keeps the bytes of a batch and would deliver
// them after the cut, also if the link was closed meanwhile.
BOOST_FIXTURE_TEST_CASE(ALostBatchIsNotDeliveredLater, fixture) {
  constexpr std::size_t kBodyBytes = 2U << 20U;  // more than the relay buffers
  std::atomic<bool> lost = false;
  std::size_t delivered = 0;
  {
    const test::scripted_server relay([&](test::scripted_connection& link) {
      while (!lost) std::this_thread::sleep_for(std::chrono::milliseconds(1));
      delivered = link.ReadToEnd();
    });
    outbound_request request;
    request.body =
        std::make_shared<const std::string>(std::string(kBodyBytes, 'x'));
    client->Send({.address = relay.Address(), .failure_domain = "b"}, request,
                 2, {"s1"},
                 {.on_update = [](const relay_update&) {},
                  .on_lost = [this](const auto&) { ++lost_batches; }});
    RunUntil([this] { return lost_batches > 0; });
    lost = true;
  }
  BOOST_TEST(delivered < kBodyBytes);
}

// Guards against a planned stop that cuts results which a peer still reads.
BOOST_FIXTURE_TEST_CASE(ResultsAreUnsentUntilThePeerHasReadThem, fixture) {
  constexpr std::size_t kMoreThanBuffers = 12U << 20U;
  const endpoint address = FreeEndpoint();
  relay_links links{
      loop,
      address,
      {.on_request =
           [&](const auto& link, frame_kind, std::string_view) {
             link->Send(frame_kind::kHandoverReply,
                        std::string(kMoreThanBuffers, 'x'));
           },
       .on_sender_disconnected = [](const frame_link*) {},
       .on_reply = [](const endpoint&, frame_kind, std::string_view) {},
       .on_relay_disconnected = [](const endpoint&) {}}};
  const int peer = ConnectSocket({}, address);
  RunFor(20);
  BOOST_TEST(links.LinksWithUnsentResults() == 0U);
  const std::string empty_frame(5, '\0');
  BOOST_REQUIRE(send(peer, empty_frame.data(), empty_frame.size(), 0) == 5);
  RunFor(100);
  BOOST_TEST(links.LinksWithUnsentResults() == 1U);
  std::vector<char> chunk(1U << 20U);
  RunUntil([&] {
    while (recv(peer, chunk.data(), chunk.size(), 0) > 0) {
    }
    return links.LinksWithUnsentResults() == 0;
  });
  close(peer);
}

// A relay that resumes after a freeze sends results of batches that are lost by
// then and whose shards were sent directly. Accepting these results would count
// records twice.
BOOST_FIXTURE_TEST_CASE(UpdatesOfALostBatchAreIgnored, fixture) {
  relay_silent = true;
  const std::uint64_t id = Send();
  RunUntil([this] { return lost_batches > 0; });
  client->OnReply(relay_address, frame_kind::kRelayUpdate,
                  Encode(relay_update{.id = id, .parts = {{.shard = 0}}}));
  BOOST_TEST(updates.empty());
}

// Guards against requests that fail as a whole because a relay, disconnected
// from the store, does not know the services of a new routing table.
BOOST_FIXTURE_TEST_CASE(ShardsUnknownToTheRelayAreReturnedAtOnce, fixture) {
  directory.Apply({{.id = "s1", .service = "s1", .slots = 2}}, Now());
  directory.Expire(Now() + std::chrono::seconds(9));
  Send(2000);
  RunUntil([this] { return !updates.empty(); });
  BOOST_TEST(updates[0].not_sent == (std::vector<std::uint32_t>{1, 2}));
  BOOST_TEST(updates[0].failed.empty());
  Reply(0, std::string(16, 'a'));
  RunUntil([this] { return updates.size() == 2; });
  BOOST_TEST(updates[1].parts.size() == 1U);
  BOOST_TEST(server.InFlight() == 0U);
}

// Without it, each sender of batches would send a limited server one request to
// learn of the limit.
BOOST_FIXTURE_TEST_CASE(ARelayPassesOnTheLimitThatKeptItFromSending, fixture) {
  const std::uint64_t limited = directory.ServersOf("s2").front()->incarnation;
  dispatch.rate_limits.OnAdvertised(limited, 1.5, Now());
  dispatch.limited_sends.Exhaust(limited, Now());
  Send(2000);
  RunUntil([this] { return !updates.empty(); });
  BOOST_TEST(updates[0].not_sent == std::vector<std::uint32_t>{1});
  BOOST_REQUIRE(limits.size() == 1U);
  BOOST_TEST(limits[0].run == limited);
  BOOST_TEST(limits[0].per_s == 1.5);
  dispatcher other{loop, sender, directory, {}};
  other.OnRelayedLimit(limits[0], Now());
  BOOST_TEST(
      other.AdvertisedRate(*directory.ServersOf("s2").front(), Now()).per_s ==
      1.5);
}

BOOST_FIXTURE_TEST_CASE(CancelledBatchEndsAtTheRelay, fixture) {
  const std::uint64_t id = Send(2000);
  RunUntilSent(3);
  BOOST_TEST(server.InFlight() == 1U);
  client->Cancel(id);
  RunUntil([this] { return server.InFlight() == 0; });
  BOOST_TEST(sender.abandoned == 3);
}

// Shards of a request that the relay refuses because it crashes servers are
// reported as failed. Reported as not sent, they would be sent directly by the
// sender, which may not know of the crashes yet.
BOOST_FIXTURE_TEST_CASE(ContainedRequestIsNotReturnedAsNotSent, fixture) {
  for (std::uint64_t incarnation = 1;
       incarnation <= crash_guard::kCrashesToRefuse; ++incarnation) {
    dispatch.crashes.OnLost({.identity = {.exact = 0},
                             .service = crash_guard::ServiceHash("s1"),
                             .incarnation = incarnation,
                             .answers = std::make_shared<request_answers>()},
                            Now());
    static_cast<void>(dispatch.crashes.OnTerminated(incarnation, Now()));
  }
  Send();
  const auto failed = [this] {
    std::size_t count = 0;
    for (const relay_update& update : updates) count += update.failed.size();
    return count;
  };
  RunUntil([&failed] { return failed() == 3; });
  BOOST_TEST(sender.sent.empty());
  for (const relay_update& update : updates) {
    BOOST_TEST(update.not_sent.empty());
    BOOST_TEST(!update.may_have_run);
  }
}

BOOST_AUTO_TEST_CASE(LocalShardsAreRelayedOnlyIfTheLocalDomainHasARelay) {
  std::vector<shard_location> locations(4, {{"a", "b"}});
  locations.push_back({{"b"}});
  BOOST_TEST(PlanRelayBatches(locations, "a", {"b"}, 0).empty());
  const auto batches = PlanRelayBatches(locations, "a", {"a", "b"}, 0);
  BOOST_REQUIRE(batches.size() == 1U);
  BOOST_TEST(batches[0].failure_domain == "a");
  BOOST_TEST(batches[0].shards.size() == 4U);
}

// A fan-out over 90 shards from an instance with a quarter of the CPU cores of
// some others.
BOOST_FIXTURE_TEST_CASE(BatchesGoToInstancesWithManyMoreCores, fixture) {
  client->SetPeers({Peer(1, "a", 1), Peer(2, "a", 4), Peer(3, "a", 4),
                    Peer(4, "b", 1), Peer(5, "b", 4)});
  for (std::size_t rotation = 0; rotation < 4; ++rotation) {
    const auto relays = client->ChooseRelays("a", 90, rotation);
    BOOST_REQUIRE(relays.size() == 2U);
    BOOST_TEST(relays[0].address.port != relays[1].address.port);
    for (const relay_peer& relay : relays) {
      BOOST_TEST(relay.cpu_cores == 4);
    }
    BOOST_TEST(client->ChooseRelays("a", 10, rotation).size() == 1U);
    BOOST_TEST(client->ChooseRelays("b", 90, rotation).at(0).address.port == 5);
  }
}

BOOST_FIXTURE_TEST_CASE(LocalRelaysWithFewMoreCoresAreNotUsed, fixture) {
  client->SetPeers({Peer(1, "a", 1), Peer(2, "a", 1.5), Peer(3, "b", 1)});
  BOOST_TEST(client->UsableDomains() == std::set<std::string>{"b"});
  BOOST_TEST(client->ChooseRelays("a", 90, 0).empty());
}

}  // namespace
}  // namespace basilhoist
