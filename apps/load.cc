// basilhoist-load: open-loop load on entry instances; checks every answer.
#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "basilhoist/http/http_client.h"
#include "basilhoist/ops/log.h"
#include "basilhoist/settings/site_settings.h"
#include "load_plan.h"
#include "service_time.h"

namespace {

using basilhoist::http_result;
using basilhoist::instant;
using basilhoist::microseconds;
using basilhoist::milliseconds;
using basilhoist::operation;
using basilhoist::service_group;
using basilhoist::standin::load_stream;
using nlohmann::json;

constexpr const char* kUsage =
    R"(Sends requests at a fixed rate and checks every answer.

Usage:
  basilhoist-load --base=FILE --overlay=FILE --entries=LIST --mix=MIX [options]
  basilhoist-load (-h | --help)

Options:
  --entries=LIST      Callers' addresses of the entries: IP:PORT,IP:PORT.
  --mix=MIX           Streams: GROUP:OPERATION:RATE,... with the operations
                      query, lookup and once, and rates in requests a second.
  --seconds=S         How long to send [default: 5].
  --deadline-ms=MS    Deadline of each request; 0 takes the group's
                      [default: 0].
  --repeat-once       Sends each request not to be repeated twice, to two
                      entries.
  --source=IP         IP number to send from [default: 127.0.0.1].
  --log=FILE          Writes one JSON line a request.
  --seed=N            Seed of request ids and service times [default: 1].
  --typical-us=US     As given to the stand-ins [default: 10000].
  --slow-share=SHARE  As given to the stand-ins [default: 0.02].
  --slow-factor=N     As given to the stand-ins [default: 10].
  --distance-us=US    As given to the stand-ins [default: 1500].
  --slow-server=NAME  A server that is slower throughout.
  --slow-server-factor=N  By how much [default: 1].
  --drain-seconds=S   Time to wait for the last answers [default: 3].

Prints a report as JSON.
)";

constexpr microseconds kReadyPeriod = milliseconds(100);
constexpr std::uint16_t kOpsPortOffset = 1;

struct group_report {
  std::uint64_t sent = 0;
  std::uint64_t full = 0;
  std::uint64_t partial = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t recorded = 0;
  std::uint64_t cut = 0;    // no HTTP answer
  std::uint64_t wrong = 0;  // an answer that fails a check
  double coverage = 0;
  std::vector<double> latencies;  // of answers, full or partial
  std::vector<double> refusals;   // of "not run" answers
};

struct step_report {
  std::uint64_t sent = 0;
  std::uint64_t full = 0;
  std::uint64_t answered = 0;
};

class load_tool {
 public:
  load_tool(basilhoist::event_loop& loop, basilhoist::site_settings settings,
            const std::map<std::string, docopt::value>& given)
      : loop_(loop),
        http_(loop),
        settings_(std::move(settings)),
        source_(given.at("--source").asString()),
        deadline_ms_(given.at("--deadline-ms").asLong()),
        repeat_once_(given.at("--repeat-once").asBool()),
        seed_(static_cast<std::uint64_t>(given.at("--seed").asLong())),
        seconds_(std::stod(given.at("--seconds").asString())),
        drain_seconds_(std::stod(given.at("--drain-seconds").asString())),
        reference_(
            {.seed = seed_,
             .typical = microseconds(given.at("--typical-us").asLong()),
             .slow_share = std::stod(given.at("--slow-share").asString()),
             .slow_factor = std::stod(given.at("--slow-factor").asString())},
            {given.at("--slow-server").isString()
                 ? given.at("--slow-server").asString()
                 : "",
             std::stod(given.at("--slow-server-factor").asString())},
            microseconds(given.at("--distance-us").asLong())) {
    std::istringstream list(given.at("--entries").asString());
    for (std::string each; std::getline(list, each, ',');) {
      entries_.push_back({basilhoist::ParseEndpoint(each), true});
    }
    streams_ = basilhoist::standin::ParseMix(given.at("--mix").asString());
    if (given.at("--log").isString()) log_.open(given.at("--log").asString());
  }

  bool Valid() const { return !streams_.empty() && !entries_.empty(); }

  void Start() {
    began_ = basilhoist::Now();
    PollReadiness();
    loop_.Every(kReadyPeriod, [this] { PollReadiness(); });
    for (std::size_t i = 0; i < streams_.size(); ++i) Schedule(i, 0);
    const auto all = microseconds(
        static_cast<std::int64_t>((seconds_ + drain_seconds_) * 1e6));
    loop_.After(all, [this] { loop_.Stop(); });
  }

  // What was never answered belongs to the history, too: it may have run.
  void LogUnanswered() {
    for (const auto& [number, open] : open_) {
      Log(open.id, open.stream, "unanswered", json::object(), open.entry, true);
    }
  }

  void PrintReport() {
    json report = json::object();
    json groups = json::object();
    for (auto& [name, group] : groups_) groups[name] = ToJson(group);
    report["groups"] = groups;
    report["unanswered"] = open_.size();
    auto oracle = reference_.Oracle();
    auto bound = reference_.Bound();
    report["oracle_p99_ms"] =
        basilhoist::standin::Quantile(oracle, 0.99) / 1000.0;
    report["bound_p99_ms"] =
        basilhoist::standin::Quantile(bound, 0.99) / 1000.0;
    json timeline = json::object();
    for (const auto& [name, steps] : timeline_) {
      for (const auto& each : steps) {
        timeline[name].push_back({each.sent, each.full, each.answered});
      }
    }
    report["timeline_100ms"] = timeline;
    std::cout << report.dump() << "\n";
  }

 private:
  struct entry_state {
    basilhoist::endpoint where;
    bool ready = true;
  };

  struct open_request {
    std::string id;
    load_stream stream;
    basilhoist::endpoint entry;
  };

  static json ToJson(group_report& group) {
    using basilhoist::standin::Quantile;
    const auto answers = static_cast<double>(group.full + group.partial);
    return {{"sent", group.sent},
            {"full", group.full},
            {"partial", group.partial},
            {"not_run", group.not_run},
            {"may_have_run", group.may_have_run},
            {"recorded", group.recorded},
            {"cut", group.cut},
            {"wrong", group.wrong},
            {"coverage_mean", answers > 0 ? group.coverage / answers : 0.0},
            {"p50_ms", Quantile(group.latencies, 0.50) / 1000.0},
            {"p99_ms", Quantile(group.latencies, 0.99) / 1000.0},
            {"p999_ms", Quantile(group.latencies, 0.999) / 1000.0},
            {"refusal_p99_ms", Quantile(group.refusals, 0.99) / 1000.0}};
  }

  // Requests leave at fixed times whatever became of earlier ones, and their
  // latency counts from the time they were due.
  void Schedule(std::size_t stream, std::uint64_t number) {
    const load_stream& current = streams_[stream];
    const auto offset = microseconds(static_cast<std::int64_t>(
        static_cast<double>(number) * 1e6 / current.rate));
    if (static_cast<double>(offset.count()) >= seconds_ * 1e6) return;
    const instant due = began_ + offset;
    loop_.At(due, [this, stream, number, due] {
      Send(streams_[stream], number, due);
      Schedule(stream, number + 1);
    });
  }

  const entry_state& NextEntry() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      next_entry_ = (next_entry_ + 1) % entries_.size();
      if (entries_[next_entry_].ready) break;
    }
    return entries_[next_entry_];
  }

  void Send(const load_stream& stream, std::uint64_t number, instant due) {
    const std::string id = "r" + std::to_string(seed_) + "-" + stream.group +
                           "-" + std::to_string(number);
    SendTo(NextEntry().where, stream, id, number, due);
    if (stream.kind == operation::kOnce && repeat_once_) {
      SendTo(NextEntry().where, stream, id, number, due);
    }
  }

  const service_group* FindGroup(const std::string& name) const {
    for (const auto& each : settings_.groups) {
      if (each.name == name) return &each;
    }
    return nullptr;
  }

  void SendTo(const basilhoist::endpoint& entry, const load_stream& stream,
              const std::string& id, std::uint64_t number, instant due) {
    const std::string base =
        "http://" + Format(entry) + "/v1/groups/" + stream.group;
    basilhoist::http_call call{.timeout = milliseconds(10000),
                               .local_address = source_};
    call.headers = {"X-Request-Id: " + id, "Expect:"};
    if (deadline_ms_ > 0) {
      call.headers.push_back("X-Deadline-Ms: " + std::to_string(deadline_ms_));
    }
    std::string body = R"({"find":)" + std::to_string(number) + "}";
    if (stream.kind == operation::kLookup) {
      const std::string key = "k" + std::to_string(number);
      call.url = base + "/records/" + key;
      body = json{{"key", key}}.dump();
    } else {
      const bool once = stream.kind == operation::kOnce;
      call.method = "POST";
      call.url = base + (once ? "/once" : "/query");
      call.body = body;
    }
    const service_group* group = FindGroup(stream.group);
    if (stream.kind == operation::kQuery && group != nullptr) {
      reference_.Add(*group, id, entry.address);
    }
    ++groups_[stream.group].sent;
    ++At(stream.group, due).sent;
    const std::uint64_t serial = ++last_serial_;
    open_[serial] = {id, stream, entry};
    http_.Start(std::move(call), [this, serial, stream, id, body, due,
                                  entry](http_result& result) {
      open_.erase(serial);
      OnResult(stream, id, body, due, entry, result);
    });
  }

  step_report& At(const std::string& group, instant due) {
    const auto slot = static_cast<std::size_t>((due - began_).count() / 100000);
    auto& steps = timeline_[group];
    if (steps.size() <= slot) steps.resize(slot + 1);
    return steps[slot];
  }

  void OnResult(const load_stream& stream, const std::string& id,
                const std::string& body, instant due,
                const basilhoist::endpoint& entry, http_result& result) {
    group_report& group = groups_[stream.group];
    const auto took = static_cast<double>((basilhoist::Now() - due).count());
    const json answer =
        result.HasReply() ? json::parse(result.Body(), nullptr, false) : json();
    if (!answer.is_object()) {
      ++group.cut;
      Log(id, stream, "cut", json::object(), entry, true);
      return;
    }
    const std::string verdict = answer.value("verdict", "");
    const bool recorded = result.Header("X-Recorded-Outcome") == "1";
    const bool right = Check(answer, id, body);
    if (!right) ++group.wrong;
    Log(id, stream, recorded ? "recorded" : verdict, answer, entry, right);
    if (verdict == "not_run") {
      ++group.not_run;
      group.refusals.push_back(took);
    } else if (verdict == "may_have_run") {
      ++group.may_have_run;
    } else if (recorded) {
      ++group.recorded;
    } else {
      CountAnswer(stream.group, answer, due, took);
    }
  }

  void CountAnswer(const std::string& name, const json& answer, instant due,
                   double took) {
    group_report& group = groups_[name];
    const json& coverage = answer["coverage"];
    const double answered = coverage.value("answered", 0.0);
    const double total = coverage.value("total", 1.0);
    const bool full = answered == total;
    ++(full ? group.full : group.partial);
    group.coverage += total > 0 ? answered / total : 0;
    group.latencies.push_back(took);
    ++At(name, due).answered;
    At(name, due).full += full ? 1 : 0;
  }

  // One snapshot, true coverage, and the caller's own request.
  bool Check(const json& answer, const std::string& id,
             const std::string& body) const {
    if (answer.value("request_id", "") != id) return false;
    if (!answer.contains("results")) return true;
    const json& results = answer["results"];
    const json& coverage = answer["coverage"];
    const auto version = answer.value("index_version", std::uint64_t{0});
    std::set<std::string> shards;
    for (const auto& each : results) {
      const std::string shard = each.value("shard", "");
      shards.insert(shard);
      const std::string row = each["answer"].value("row", "");
      if (row != basilhoist::standin::ExpectedRow(shard, version, body)) {
        return false;
      }
    }
    for (const auto& each : coverage["missing"]) {
      shards.insert(each.value("shard", ""));
    }
    const auto answered = coverage.value("answered", std::size_t{0});
    const auto total = coverage.value("total", std::size_t{0});
    return answered == results.size() && shards.size() == total &&
           answered + coverage["missing"].size() == total;
  }

  // One line a request, for the history checker.
  void Log(const std::string& id, const load_stream& stream,
           const std::string& verdict, const json& answer,
           const basilhoist::endpoint& entry, bool right) {
    if (!log_.is_open()) return;
    const json coverage = answer.value("coverage", json::object());
    json shards = json::array();
    for (const auto& each : answer.value("results", json::array())) {
      shards.push_back(each.value("shard", ""));
    }
    const auto wall = std::chrono::duration_cast<microseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    log_ << json{{"id", id},
                 {"group", stream.group},
                 {"once", stream.kind == operation::kOnce},
                 {"lookup", stream.kind == operation::kLookup},
                 {"entry", entry.address},
                 {"verdict", verdict},
                 {"reason", answer.value("reason", "")},
                 {"version", answer.value("index_version", 0)},
                 {"answered", coverage.value("answered", 0)},
                 {"total", coverage.value("total", 0)},
                 {"shards", shards},
                 {"missing", coverage.value("missing", json::array())},
                 {"ended_us", wall.count()},
                 {"right", right},
                 {"answer", right ? json() : answer}}
                .dump()
         << "\n";
  }

  void PollReadiness() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      const basilhoist::endpoint ops{
          entries_[i].where.address,
          static_cast<std::uint16_t>(entries_[i].where.port + kOpsPortOffset)};
      http_.Start({.url = "http://" + Format(ops) + "/readyz",
                   .timeout = milliseconds(500),
                   .local_address = source_},
                  [this, i](http_result& result) {
                    entries_[i].ready =
                        result.HasReply() && result.Status() == 200;
                  });
    }
  }

  basilhoist::event_loop& loop_;
  basilhoist::http_client http_;
  basilhoist::site_settings settings_;
  std::string source_;
  long deadline_ms_;
  bool repeat_once_;
  std::uint64_t seed_;
  double seconds_;
  double drain_seconds_;
  basilhoist::standin::reference_latency reference_;
  std::vector<entry_state> entries_;
  std::vector<load_stream> streams_;
  std::map<std::string, group_report> groups_;
  std::map<std::string, std::vector<step_report>> timeline_;
  std::ofstream log_;
  std::size_t next_entry_ = 0;
  std::map<std::uint64_t, open_request> open_;
  std::uint64_t last_serial_ = 0;
  instant began_;
};

}  // namespace

int main(int argc, char** argv) {
  namespace leaf = basilhoist::leaf;
  const auto given =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "basilhoist-load");
  basilhoist::SetUpLogs({.process = "load"});
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, basilhoist::LoadSettings(
                                      given.at("--base").asString(),
                                      given.at("--overlay").asString()));
        basilhoist::event_loop loop;
        load_tool load(loop, std::move(settings), given);
        if (!load.Valid()) {
          std::cerr << "--mix or --entries cannot be read; see --help\n";
          return EXIT_FAILURE;
        }
        load.Start();
        loop.Run();
        load.LogUnanswered();
        load.PrintReport();
        return EXIT_SUCCESS;
      },
      [](const basilhoist::fault_list& list) {
        for (const auto& each : list.faults) {
          std::cerr << basilhoist::Format(each) << "\n";
        }
        return EXIT_FAILURE;
      },
      [] { return EXIT_FAILURE; });
}
