// basilhoist-standin-backends: plays the backend servers of a failure domain.
#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "basilhoist/ops/log.h"
#include "played_server.h"

namespace {

using basilhoist::http_exchange;
using basilhoist::standin::played_faults;
using basilhoist::standin::played_server;
using nlohmann::json;

constexpr const char* kUsage = R"(Plays the backend servers of a failure domain.

Usage:
  basilhoist-standin-backends --base=FILE --overlay=FILE
                              --failure-domain=DOMAIN --control=IP:PORT
                              [options]
  basilhoist-standin-backends (-h | --help)

Options:
  --typical-us=US      Typical service time [default: 10000].
  --slow-share=SHARE   Share of sub-requests that are slow [default: 0.02].
  --slow-factor=N      How much slower these are [default: 10].
  --distance-us=US     One way to other failure domains [default: 1500].
  --seed=N             Seed of service times [default: 1].
  --no-records         Keeps no record of single runs.

POST /control takes {"servers": [NAME, ...] or absent for all, and any of
slow_factor, draining, drop_replies, cross_replies, oldest_version,
newest_version, crash, cold, clear}. GET /control shows counters, GET /runs the
record of runs.
)";

class backends {
 public:
  backends(basilhoist::event_loop& loop,
           const std::map<std::string, basilhoist::server_entry>& servers,
           const std::string& domain, const played_server::options& common,
           const basilhoist::endpoint& control)
      : control_(loop, {.address = control.address, .port = control.port},
                 [this](auto exchange) { OnControl(*exchange); }) {
    for (const auto& [name, entry] : servers) {
      if (entry.server.failure_domain != domain) continue;
      played_server::options how = common;
      how.entry = entry;
      servers_.push_back(std::make_unique<played_server>(loop, how));
    }
  }

  bool Listening() const {
    bool all = control_.Listening();
    for (const auto& each : servers_) all = all && each->Listening();
    return all;
  }

 private:
  void OnControl(http_exchange& exchange) {
    if (exchange.Path() == "/runs") {
      exchange.Reply({.body = Runs(exchange.Argument("once") == "1")});
      return;
    }
    if (exchange.Method() == "POST") {
      const json set = json::parse(exchange.Body(), nullptr, false);
      if (!set.is_object()) {
        exchange.Reply({.status = 400, .body = "{}"});
        return;
      }
      for (const auto& each : servers_) {
        if (Chosen(set, *each)) Apply(set, *each);
      }
    }
    exchange.Reply({.body = Counters()});
  }

  static bool Chosen(const json& set, const played_server& server) {
    if (!set.contains("servers")) return true;
    for (const auto& name : set["servers"]) {
      if (name == server.Entry().server.name) return true;
    }
    return false;
  }

  static void Apply(const json& set, played_server& server) {
    played_faults& faults = server.Faults();
    faults.slow_factor = set.value("slow_factor", faults.slow_factor);
    faults.draining = set.value("draining", faults.draining);
    faults.drop_replies = set.value("drop_replies", faults.drop_replies);
    faults.cross_replies = set.value("cross_replies", faults.cross_replies);
    faults.oldest_version = set.value("oldest_version", faults.oldest_version);
    faults.newest_version = set.value("newest_version", faults.newest_version);
    if (set.value("cold", false)) server.TurnCold();
    if (set.value("crash", false)) server.Crash();
    if (set.value("clear", false)) server.ClearCounters();
  }

  std::string Counters() const {
    json result = json::object();
    for (const auto& each : servers_) {
      const auto& counts = each->Counters();
      result[each->Entry().server.name] = {
          {"arrivals", counts.arrivals},
          {"runs", counts.runs},
          {"shed", counts.shed},
          {"crashes", counts.crashes},
          {"most_in_flight", counts.most_in_flight},
          {"most_over_slots", counts.most_over_slots},
          {"most_over_window", counts.most_over_window},
          {"most_connections", counts.most_connections},
          {"connections_limit", each->Entry().limits.connections},
          {"last_run_us", counts.last_run_us}};
    }
    return result.dump();
  }

  std::string Runs(bool once_only) const {
    json result = json::array();
    for (const auto& each : servers_) {
      for (const auto& run : each->Records()) {
        if (once_only && !run.once) continue;
        result.push_back({{"server", run.server},
                          {"request_id", run.request_id},
                          {"shard", run.shard},
                          {"version", run.version},
                          {"at_us", run.at_us},
                          {"once", run.once},
                          {"outcome", run.outcome}});
      }
    }
    return result.dump();
  }

  std::vector<std::unique_ptr<played_server>> servers_;
  basilhoist::http_server control_;
};

}  // namespace

int main(int argc, char** argv) {
  namespace leaf = basilhoist::leaf;
  const auto given =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "backends");
  basilhoist::SetUpLogs({.process = "backends"});
  played_server::options common;
  common.times = {
      .seed = static_cast<std::uint64_t>(given.at("--seed").asLong()),
      .typical = basilhoist::microseconds(given.at("--typical-us").asLong()),
      .slow_share = std::stod(given.at("--slow-share").asString()),
      .slow_factor = std::stod(given.at("--slow-factor").asString())};
  common.cross_domain_delay =
      basilhoist::microseconds(given.at("--distance-us").asLong());
  common.keep_records = !given.at("--no-records").asBool();
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(settings, basilhoist::LoadSettings(
                                      given.at("--base").asString(),
                                      given.at("--overlay").asString()));
        basilhoist::event_loop loop;
        backends all(
            loop, basilhoist::IndexServers(settings),
            given.at("--failure-domain").asString(), common,
            basilhoist::ParseEndpoint(given.at("--control").asString()));
        if (!all.Listening()) {
          std::cerr << "an address cannot be listened on\n";
          return EXIT_FAILURE;
        }
        loop.OnTerminate([&loop] { loop.Stop(); });
        loop.Run();
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
