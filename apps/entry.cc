// basilhoist-entry: one entry instance.
#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "basilhoist/instance/instance.h"
#include "basilhoist/instance/sharing.h"
#include "basilhoist/ops/log.h"

namespace {

constexpr const char* kUsage = R"(basilhoist-entry: one entry instance.

Usage:
  basilhoist-entry --site=SITE --name=NAME --failure-domain=DOMAIN
                   --address=IP --store=IP:PORT [options]
  basilhoist-entry (-h | --help)

Options:
  --site=SITE              Site whose settings it takes from the store.
  --name=NAME              Name of this instance, as the platform lists it.
  --failure-domain=DOMAIN  Failure domain that it stands in.
  --address=IP             IP number to listen on and to send from.
  --store=IP:PORT          The platform's object API.
  --caller-port=PORT       Port for callers [default: 8080].
  --ops-port=PORT          Port for operators [default: 8081].
  --link-port=PORT         Port for other instances [default: 8082].
  --peers=LIST             Links of some instances, IP:PORT,IP:PORT.
  --balancer-lag-ms=MS     Time the balancer needs to see that this instance
                           is not ready any more [default: 1000].
  --max-connections=N      Connections of callers [default: 1000].
  --seed=N                 Seed of random choices [default: 1].
  --log-json               Logs as one JSON object a line.
  --quiet                  Logs warnings and errors only.
  --experiments            Allows the experiment calls of the ops port.
  --hop-delay-us=US        Delay to other failure domains, for experiments
                           [default: 0].
  --baseline               Random replicas, no second attempts, retries or
                           admission limit; for experiments.
  --sharing=NAME           one-owner, or shares or two-owners for experiments
                           [default: one-owner].
  -h --help                Shows this.

Example:
  basilhoist-entry --site=quetzal --name=entry-1 --failure-domain=gt-central-a
                   --address=127.10.0.1 --store=127.0.0.1:7000
)";

using arguments = std::map<std::string, docopt::value>;

std::vector<basilhoist::endpoint> ParsePeers(const std::string& list) {
  std::vector<basilhoist::endpoint> peers;
  std::istringstream stream(list);
  for (std::string each; std::getline(stream, each, ',');) {
    peers.push_back(basilhoist::ParseEndpoint(each));
  }
  return peers;
}

std::uint16_t Port(const arguments& given, const char* name) {
  return static_cast<std::uint16_t>(given.at(name).asLong());
}

basilhoist::instance_options ReadOptions(const arguments& given) {
  const auto text = [&](const char* name) {
    return given.at(name).isString() ? given.at(name).asString()
                                     : std::string();
  };
  basilhoist::instance_options options{
      .site = text("--site"),
      .name = text("--name"),
      .failure_domain = text("--failure-domain"),
      .address = text("--address"),
      .caller_port = Port(given, "--caller-port"),
      .ops_port = Port(given, "--ops-port"),
      .link_port = Port(given, "--link-port"),
      .store = basilhoist::ParseEndpoint(text("--store")),
      .peers = ParsePeers(text("--peers")),
      .balancer_lag =
          basilhoist::milliseconds(given.at("--balancer-lag-ms").asLong()),
      .max_caller_connections =
          static_cast<unsigned>(given.at("--max-connections").asLong()),
      .seed = static_cast<std::uint64_t>(given.at("--seed").asLong()),
      .sharing = text("--sharing"),
      .experiments = given.at("--experiments").asBool(),
      .cross_domain_delay =
          basilhoist::microseconds(given.at("--hop-delay-us").asLong())};
  if (given.at("--baseline").asBool()) {
    options.strategy = {.choice = basilhoist::choice_rule::kRandom,
                        .second_attempts = false,
                        .retries = false,
                        .admission = false};
  }
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  const arguments given =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "basilhoist-entry");
  basilhoist::instance_options options;
  try {
    options = ReadOptions(given);
  } catch (const std::exception& error) {
    std::cerr << "basilhoist-entry: an option that takes a number got "
                 "something else ("
              << error.what() << "); see --help\n";
    return EXIT_FAILURE;
  }
  if (!basilhoist::MakeSharing(options.sharing)) {
    std::cerr << "basilhoist-entry: --sharing takes one-owner, shares or "
                 "two-owners\n";
    return EXIT_FAILURE;
  }
  if (options.store.port == 0) {
    std::cerr << "basilhoist-entry: --store takes IP:PORT\n";
    return EXIT_FAILURE;
  }
  basilhoist::SetUpLogs({.process = options.name,
                         .json = given.at("--log-json").asBool(),
                         .quiet = given.at("--quiet").asBool()});
  basilhoist::event_loop loop;
  basilhoist::instance entry(loop, options);
  if (!entry.Start()) return EXIT_FAILURE;
  loop.OnTerminate([&entry] { entry.Stop(); });
  loop.Run();
  return EXIT_SUCCESS;
}
