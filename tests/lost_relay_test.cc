// Guards against answers with two results of one shard, after the loss of a
// relay that had returned the shard to the sender of the batch.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "basilhoist/link/codec.h"
#include "basilhoist/relay/relay_client.h"
#include "basilhoist/router/request_handler.h"
#include "caller_exchange.h"
#include "fake_sender.h"
#include "free_port.h"

namespace basilhoist {
namespace {

const header_names kNames{.request_id = "X-Id",
                          .timeout_ms = "X-Left",
                          .target_server = "X-Target",
                          .not_executed = "X-Not-Run",
                          .signature = "X-Proof",
                          .shard_signatures = "X-Proofs",
                          .missing_shards = "X-Missing",
                          .retry_after = "Retry-After"};
constexpr std::size_t kShardsPerDomain = 4;
constexpr std::size_t kRecordBytes = 16;

endpoint FreeEndpoint() {
  return {.address = "127.0.0.1", .port = test::FreePort()};
}

// The result of a shard: its own name as signature and as the only record.
std::string RecordOf(const std::string& shard) {
  std::string record = shard;
  record.resize(kRecordBytes, '.');
  return record;
}

backend_reply AnswerOf(const std::string& shard) {
  return {.sent = true,
          .status = 200,
          .headers = {{"X-Proof", shard}},
          .body = RecordOf(shard)};
}

// A relay that receives batches; the test supplies its updates.
struct fake_relay {
  fake_relay(event_loop& loop, const char* the_domain)
      : domain(the_domain),
        links(
            loop, address,
            {.on_request =
                 [this](const auto&, frame_kind kind, std::string_view bytes) {
                   if (kind != frame_kind::kRelayRequest) return;
                   batch = Decode<relay_request>(bytes);
                   for (std::uint32_t i = 0; i < batch->shards.size(); ++i) {
                     unfinished.insert(i);
                   }
                 },
             .on_sender_disconnected = [](const frame_link*) {},
             .on_reply = [](const endpoint&, frame_kind, std::string_view) {},
             .on_relay_disconnected = [](const endpoint&) {}}) {}

  std::string domain;
  endpoint address = FreeEndpoint();
  relay_links links;
  std::optional<relay_request> batch;
  std::set<std::uint32_t> unfinished;  // indexes of shards of the batch
  bool lost = false;
};

// A router in domain "a", whose backend servers and relays are in "b" and "c".
struct fixture {
  event_loop loop;
  test::fake_sender sender;
  server_directory directory;
  dispatcher dispatch{loop,
                      sender,
                      directory,
                      {.names = kNames,
                       .retry = {.ratio = 0.2, .fixed = 50},
                       .failure_domain = "a"}};
  std::unique_ptr<relay_client> client;
  relay_links links{
      loop,
      FreeEndpoint(),
      {.on_request = [](const auto&, frame_kind, std::string_view) {},
       .on_sender_disconnected = [](const frame_link*) {},
       .on_reply = [](const endpoint&, frame_kind, std::string_view) {},
       .on_relay_disconnected = [](const endpoint&) {}}};
  fake_relay relay_b{loop, "b"};
  fake_relay relay_c{loop, "c"};
  request_handler requests{dispatch};
  std::vector<std::string> shards;
  std::shared_ptr<test::caller_exchange> exchange;

  fixture() {
    client = std::make_unique<relay_client>(
        loop, links, relay_client_options{.failure_domain = "a"});
    client->SetPeers(
        {{.address = relay_b.address, .failure_domain = relay_b.domain},
         {.address = relay_c.address, .failure_domain = relay_c.domain}});
    dispatch.relays = client.get();
    // After its first window, a dispatcher has its full retry budget.
    dispatch.started = Now() - std::chrono::seconds(60);
    std::vector<backend_server> servers;
    for (const fake_relay* relay : {&relay_b, &relay_c}) {
      for (std::size_t i = 0; i < kShardsPerDomain; ++i) {
        shards.push_back(relay->domain + std::to_string(i));
        for (const char* copy : {"x", "y"}) {
          servers.push_back({.id = shards.back() + copy,
                             .service = shards.back(),
                             .failure_domain = relay->domain,
                             .slots = 4});
        }
      }
    }
    directory.Apply(servers, Now());
    // No time limit and no hedged send is due within the duration of the test.
    dispatch.table = std::make_shared<routing_table>(
        routing_table_options{.version = 1,
                              .routes = {{.name = "all",
                                          .host = "h",
                                          .path_prefix = "/",
                                          .idempotent = true,
                                          .timeout = std::chrono::seconds(60),
                                          .objective = std::chrono::seconds(50),
                                          .max_attempts = 2,
                                          .shards = shards,
                                          .min_coverage = 0.01,
                                          .max_records = 64}}});
    exchange = std::make_shared<test::caller_exchange>("GET", "/", "r1");
    exchange->SetHeader("X-Left", "60000");
    requests.Handle(exchange);
    // Both relays accept their batches at once, so that none is lost to time.
    for (std::uint64_t id = 1; id <= 2; ++id) {
      Update(relay_b, {.id = id});
      Update(relay_c, {.id = id});
    }
    RunUntil([this] { return relay_b.batch && relay_c.batch; });
  }

  // Posted work holds links, which must end before the loop.
  ~fixture() {
    loop.Post([this] { loop.Stop(); });
    loop.Run();
  }

  // Sends an update of a relay's batch.
  void Update(fake_relay& relay, relay_update update) const {
    if (update.id == 0) update.id = relay.batch->id;
    client->OnReply(relay.address, frame_kind::kRelayUpdate, Encode(update));
  }

  void Return(fake_relay& relay, std::uint32_t shard) const {
    relay.unfinished.erase(shard);
    Update(relay, {.not_sent = {shard}});
  }

  void Fail(fake_relay& relay, std::uint32_t shard) const {
    relay.unfinished.erase(shard);
    Update(relay, {.failed = {shard}, .may_have_run = true});
  }

  void Answer(fake_relay& relay, std::uint32_t shard) const {
    relay.unfinished.erase(shard);
    const std::string& name = relay.batch->shards.at(shard);
    Update(relay, {.parts = {{.shard = shard, .signature = name}},
                   .records = RecordOf(name)});
  }

  void AnswerAll(fake_relay& relay) const {
    while (!relay.lost && !relay.unfinished.empty()) {
      Answer(relay, *relay.unfinished.begin());
    }
  }

  void Lose(fake_relay& relay) const {
    relay.lost = true;
    client->OnDisconnect(relay.address);
  }

  [[nodiscard]] std::vector<std::size_t> PendingSends() const {
    std::vector<std::size_t> pending;
    for (std::size_t i = 0; i < sender.sent.size(); ++i) {
      if (sender.sent[i].done) pending.push_back(i);
    }
    return pending;
  }

  // Returns the largest number of sends of one shard that are in flight.
  [[nodiscard]] int MaxInFlightPerShard() const {
    std::map<std::string, int> in_flight;
    int most = 0;
    for (const std::size_t i : PendingSends()) {
      most = std::max(most, ++in_flight[sender.sent[i].service]);
    }
    return most;
  }

  void AnswerAllSends() {
    for (std::size_t i = 0; i < sender.sent.size(); ++i) {
      if (sender.sent[i].done) {
        sender.Reply(i, AnswerOf(sender.sent[i].service));
      }
    }
  }

  // Returns the shards whose signatures are in the answer, in its order.
  [[nodiscard]] std::vector<std::string> AnsweredShards() const {
    std::vector<std::string> found;
    for (const http_header& header : exchange->answer->headers) {
      if (header.name != kNames.shard_signatures) continue;
      std::string_view rest = header.value;
      while (!rest.empty()) {
        const auto end = rest.find(", ");
        found.emplace_back(rest.substr(0, end));
        if (end == std::string_view::npos) break;
        rest.remove_prefix(end + 2);
      }
    }
    return found;
  }

  // Returns whether the answer holds each shard once at most: signatures,
  // records and the number of missing shards agree.
  [[nodiscard]] bool AnswerIsConsistent() const {
    const std::vector<std::string> found = AnsweredShards();
    const std::set<std::string> distinct(found.begin(), found.end());
    std::string missing;
    for (const http_header& header : exchange->answer->headers) {
      if (header.name == kNames.missing_shards) missing = header.value;
    }
    return distinct.size() == found.size() &&
           exchange->answer->body.size() == found.size() * kRecordBytes &&
           missing == std::to_string(shards.size() - found.size());
  }

  // The limit of 5 s allows for a busy host.
  void RunUntil(const std::function<bool()>& reached) {
    const instant deadline = Now() + std::chrono::seconds(5);
    while (!reached() && Now() < deadline) {
      loop.After(milliseconds(1), [this] { loop.Stop(); });
      loop.Run();
    }
    BOOST_REQUIRE(reached());
  }
};

BOOST_FIXTURE_TEST_CASE(AShardThatALostRelayHadReturnedIsAnsweredOnce,
                        fixture) {
  Return(relay_b, 0);
  BOOST_TEST(sender.sent.size() == 1U);
  Lose(relay_b);
  BOOST_TEST(sender.sent.size() == kShardsPerDomain);
  BOOST_TEST(MaxInFlightPerShard() == 1);
  AnswerAllSends();
  AnswerAll(relay_c);
  BOOST_REQUIRE(exchange->answer.has_value());
  BOOST_TEST(exchange->answer->status == 200);
  BOOST_TEST(AnsweredShards().size() == shards.size());
  BOOST_TEST(AnswerIsConsistent());
}

// An update that names a shard that the relay doesn't hold is no result of this
// batch: its merged records can't be told apart. It ended the process.
BOOST_AUTO_TEST_CASE(AnUpdateOfShardsThatTheRelayDoesNotHoldIsDropped) {
  const std::vector<relay_update> invalid = {
      {.parts = {{.shard = kShardsPerDomain, .signature = "x"}}},
      {.failed = {kShardsPerDomain}},
      {.not_sent = {0xFFFFFFFF}},
      {.parts = {{.shard = 0, .signature = "x"}}, .failed = {0}},
      {.failed = {0, 0}},
      {.parts = {{.shard = 3, .signature = "x"}},
       .records = RecordOf("x"),
       .not_sent = {3}}};
  for (const relay_update& update : invalid) {
    fixture test;
    test.Answer(test.relay_b, 1);
    test.Update(test.relay_b, update);
    // The batch counts as lost.
    BOOST_TEST(test.sender.sent.size() == kShardsPerDomain - 1);
    test.AnswerAllSends();
    test.AnswerAll(test.relay_c);
    BOOST_REQUIRE(test.exchange->answer.has_value());
    BOOST_TEST(test.AnsweredShards().size() == test.shards.size());
    BOOST_TEST(test.AnswerIsConsistent());
  }
}

// A relay that answers a shard after it has returned it.
BOOST_FIXTURE_TEST_CASE(AShardThatARelayHadReturnedIsNotTakenFromIt, fixture) {
  Return(relay_b, 0);
  Update(relay_b,
         {.parts = {{.shard = 0, .signature = "x"}}, .records = RecordOf("x")});
  AnswerAllSends();
  AnswerAll(relay_c);
  BOOST_REQUIRE(exchange->answer.has_value());
  BOOST_TEST(AnsweredShards().size() == shards.size());
  BOOST_TEST(AnswerIsConsistent());
}

// A call that was replaced was also not cancelled with its request.
BOOST_FIXTURE_TEST_CASE(ACallerThatLeavesAfterTheLossCancelsEverySend,
                        fixture) {
  Return(relay_b, 0);
  Lose(relay_b);
  exchange->close();
  BOOST_TEST(PendingSends().empty());
}

// Relays return, fail and answer shards and are lost, and servers reply, in any
// order. Each shard is in the answer once at most and is with one server at a
// time.
RC_BOOST_PROP(EachShardIsAnsweredOnceInAnyOrder, ()) {
  fixture test;
  const int steps = *rc::gen::inRange(1, 24);
  for (int i = 0; i < steps && !test.exchange->answer; ++i) {
    fake_relay& relay =
        *rc::gen::element(true, false) ? test.relay_b : test.relay_c;
    const auto pending = test.PendingSends();
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        if (!relay.lost) test.Lose(relay);
        break;
      case 1:
      case 2:
        if (!relay.lost && !relay.unfinished.empty()) {
          test.Return(relay, *rc::gen::elementOf(relay.unfinished));
        }
        break;
      case 3:
        if (!relay.lost && !relay.unfinished.empty()) {
          test.Fail(relay, *rc::gen::elementOf(relay.unfinished));
        }
        break;
      case 4:
        if (!relay.lost && !relay.unfinished.empty()) {
          test.Answer(relay, *rc::gen::elementOf(relay.unfinished));
        }
        break;
      default:
        if (pending.empty()) break;
        const std::size_t number = *rc::gen::elementOf(pending);
        test.sender.Reply(
            number,
            *rc::gen::element(
                AnswerOf(test.sender.sent[number].service),
                backend_reply{.error = exchange_error::kBroken, .sent = true},
                backend_reply{.error = exchange_error::kNotConnected}));
    }
    RC_ASSERT(test.MaxInFlightPerShard() <= 1);
  }
  test.AnswerAllSends();
  test.AnswerAll(test.relay_b);
  test.AnswerAll(test.relay_c);
  test.AnswerAllSends();
  RC_ASSERT(test.exchange->answer.has_value());
  RC_ASSERT(test.PendingSends().empty());
  if (test.exchange->answer->status == 200) {
    RC_ASSERT(test.AnswerIsConsistent());
  }
}

}  // namespace
}  // namespace basilhoist
