// Costs of the pure parts by the size of what they handle. docs/CAPACITY.md
// is worked out from these slopes; scripts/bench control and subrequest run
// this program.
#include <benchmark/benchmark.h>

#include <memory>

#include "basilhoist/entry/query_run.h"
#include "basilhoist/link/codec.h"
#include "basilhoist/member/ownership.h"
#include "basilhoist/owner/server_gate.h"

namespace {

using basilhoist::heartbeat;
using basilhoist::instant;
using basilhoist::member;
using basilhoist::member_view;
using basilhoist::milliseconds;
using basilhoist::owned_server;
using basilhoist::ownership;

const instant kStart{milliseconds(1000000)};
constexpr int kDomains = 6;
constexpr int kServersPerNode = 5;

member MakeMember(int number) {
  return {.name = "entry-" + std::to_string(number),
          .incarnation = static_cast<std::uint64_t>(number + 1),
          .failure_domain = "domain-" + std::to_string(number % kDomains)};
}

member_view MakeView(int nodes) {
  member_view view{.epoch = 1};
  for (int i = 0; i < nodes; ++i) view.members.push_back(MakeMember(i));
  std::sort(view.members.begin(), view.members.end());
  return view;
}

// One heartbeat in and one out, for every peer: a node's work in one period.
void HeartbeatRound(benchmark::State& state) {
  const auto nodes = static_cast<int>(state.range(0));
  const member_view view = MakeView(nodes);
  ownership self(view.members.front(), {});
  self.OnView(view, kStart);
  instant now = kStart;
  std::size_t bytes = 0;
  for (auto _ : state) {
    now = now + milliseconds(400);
    bytes = 0;
    for (const auto& peer : view.members) {
      if (peer.name == self.Self().name) continue;
      heartbeat beat{.from = peer.name,
                     .incarnation = peer.incarnation,
                     .epoch = 1,
                     .sent_at_us = now.SinceBoot().count(),
                     .echo_us = now.SinceBoot().count()};
      self.OnHeartbeat(beat, now);
      const std::string out = Encode(self.MakeHeartbeat(peer.name, now));
      bytes += out.size();
    }
    self.OnTime(now);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(HeartbeatRound)->Arg(8)->Arg(16)->Arg(32)->Arg(64)->Arg(500);

// Working out the order of owners for every server, once for each epoch.
void OwnerOrders(benchmark::State& state) {
  const auto nodes = static_cast<int>(state.range(0));
  const member_view view = MakeView(nodes);
  for (auto _ : state) {
    for (int i = 0; i < nodes * kServersPerNode; ++i) {
      benchmark::DoNotOptimize(
          OwnerOrder(view, "server-" + std::to_string(i),
                     "domain-" + std::to_string(i % kDomains)));
    }
  }
}
BENCHMARK(OwnerOrders)->Arg(8)->Arg(16)->Arg(32)->Arg(64)->Arg(500);

// The check before each send.
void MaySend(benchmark::State& state) {
  const auto nodes = static_cast<int>(state.range(0));
  const member_view view = MakeView(nodes);
  ownership self(view.members.front(), {});
  self.OnView(view, kStart);
  for (const auto& peer : view.members) {
    self.OnHeartbeat({.from = peer.name,
                      .incarnation = peer.incarnation,
                      .epoch = 1,
                      .sent_at_us = kStart.SinceBoot().count(),
                      .echo_us = kStart.SinceBoot().count()},
                     kStart);
  }
  const owned_server server{"server-1", "domain-0"};
  for (auto _ : state) {
    benchmark::DoNotOptimize(self.MaySend(server, kStart));
  }
}
BENCHMARK(MaySend)->Arg(8)->Arg(64)->Arg(500);

// A batch on its way to an owner: written and read.
void BatchCodec(benchmark::State& state) {
  basilhoist::subrequest_batch batch;
  batch.payloads.push_back(
      {.request_id = "request-123456", .body = std::string(64, 'x')});
  for (int i = 0; i < state.range(0); ++i) {
    batch.items.push_back({.id = static_cast<std::uint64_t>(i),
                           .server = "server-12345",
                           .shard = "shard-12345",
                           .version = 7,
                           .time_left_us = 240000});
  }
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string written = Encode(batch);
    bytes = written.size();
    benchmark::DoNotOptimize(
        basilhoist::Decode<basilhoist::subrequest_batch>(written));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BatchCodec)->Arg(1)->Arg(4)->Arg(16)->Arg(64)->Arg(256);

// A sub-request through its server's gate: queued, sent, ended.
void Gate(benchmark::State& state) {
  basilhoist::server_gate gate({.slots = 2, .connections = 25});
  std::uint64_t id = 0;
  instant now = kStart;
  for (auto _ : state) {
    now = now + milliseconds(1);
    gate.Offer(
        {.id = ++id, .deadline = now + milliseconds(240), .arrived = now}, now);
    for (const auto& item : gate.Next(now).send) {
      gate.OnEnd(basilhoist::attempt_end::kAnswered, milliseconds(1),
                 item.deadline, "1", now);
    }
  }
}
BENCHMARK(Gate);

// A whole query through the entry's decisions, without sockets.
void QueryRun(benchmark::State& state) {
  auto index = std::make_shared<basilhoist::group_index>();
  index->versions.push_back({.version = 1});
  for (int i = 0; i < state.range(0); ++i) {
    const std::string name = "shard-" + std::to_string(i);
    index->versions[0].shards.push_back({name, {name + "-a", name + "-b"}});
  }
  basilhoist::service_group group{.name = "g"};
  basilhoist::group_state shared(group, {});
  basilhoist::server_table table(1);
  std::uint64_t next_id = 0;
  for (auto _ : state) {
    basilhoist::query_run run(
        {.deadline = kStart + milliseconds(240)},
        [&] { return std::shared_ptr<const basilhoist::group_index>(index); },
        table, shared, next_id);
    auto step = run.Begin(kStart);
    for (const auto& each : step.send) {
      basilhoist::subreply reply{.id = each.id,
                                 .outcome = basilhoist::verdict::kDone,
                                 .shard = each.shard,
                                 .version = each.version,
                                 .body = std::string(64, 'x')};
      benchmark::DoNotOptimize(run.OnReply(reply, kStart + milliseconds(1)));
    }
  }
}
BENCHMARK(QueryRun)->Arg(20)->Arg(30)->Arg(100)->Arg(290);

}  // namespace

BENCHMARK_MAIN();
