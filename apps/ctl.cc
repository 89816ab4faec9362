// basilhoist-ctl: the operators' tool.
#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>

#include "basilhoist/ctl/commands.h"
#include "basilhoist/ops/log.h"

namespace {

namespace leaf = basilhoist::leaf;

constexpr const char* kUsage = R"(basilhoist-ctl: the operators' tool.

Usage:
  basilhoist-ctl check BASE OVERLAY... [--json]
  basilhoist-ctl explain BASE OVERLAY [--key=KEY] [--json]
  basilhoist-ctl explain METHOD URL [--header=HEADER]... --instance=IP:PORT
                 [--json]
  basilhoist-ctl diff BASE OVERLAY --store=IP:PORT [--json]
  basilhoist-ctl apply BASE OVERLAY --store=IP:PORT [--instances=LIST]
                 [--operation=ID] [--based-on=VERSION] [--wait-s=S] [--json]
  basilhoist-ctl (drain | return) (domain | server) NAME --site=SITE
                 --store=IP:PORT [--instances=LIST] [--operation=ID]
                 [--wait-s=S] [--json]
  basilhoist-ctl status --instances=LIST [--json]
  basilhoist-ctl dump INSTANCE
  basilhoist-ctl rollouts --instances=LIST [--json]
  basilhoist-ctl (-h | --help)

Commands:
  check    Merges and checks settings; several overlays are the halves of a
           split, and no backend server may be named by two.
  explain  Shows each merged value with the file and line that it came from.
           With --instance: shows where that router would send a request now,
           and why. Nothing is sent.
  diff     Shows what apply would change in the accepted settings.
  apply    Makes the settings the accepted ones.
  drain    Takes a failure domain or a backend server out: no new work.
  return   Brings it back.
  status   Shows all instances in brief.
  dump     Shows the whole state of one instance (IP:PORT of its ops port).
  rollouts Shows the orders that routers carry out, and their verdicts.

Options:
  --store=IP:PORT     The platform's object API.
  --instances=LIST    Ops ports of instances: IP:PORT,IP:PORT.
  --instance=IP:PORT  Ops port of a router.
  --header=HEADER     A header of the request, "Name: value"; may be repeated.
  --site=SITE         Site that the change is for.
  --operation=ID      Names the change; the same id asks what became of it.
  --based-on=VERSION  Refuses if the accepted version is another one.
  --wait-s=S          Waits until all instances have it in force [default: 0].
  --key=KEY           Shows only values under this key.
  --json              Prints JSON.
  -h --help           Shows this.

Exit codes: 0 done; 1 refused, with the faults; 2 wrong usage; 3 outrun by
another change; 4 not known yet, ask again; 5 failed, nothing was done.

Examples:
  basilhoist-ctl check base.json quetzal.json
  basilhoist-ctl apply base.json quetzal.json --store=10.0.0.1:7000
  basilhoist-ctl drain domain gt-central-b --site=quetzal --store=10.0.0.1:7000
  basilhoist-ctl status --instances=10.0.1.1:8081,10.0.2.1:8081
  basilhoist-ctl explain GET http://a.example/find/1 --instance=10.0.1.1:8106
)";

struct command {
  const char* name;
  leaf::result<int> (*run)(const basilhoist::ctl_arguments&);
};

constexpr command kCommands[] = {
    {"check", &basilhoist::CheckCommand},
    {"explain", &basilhoist::ExplainCommand},
    {"diff", &basilhoist::DiffCommand},
    {"apply", &basilhoist::ApplyCommand},
    {"drain", &basilhoist::DrainCommand},
    {"return", &basilhoist::DrainCommand},
    {"status", &basilhoist::StatusCommand},
    {"dump", &basilhoist::DumpCommand},
    {"rollouts", &basilhoist::RolloutsCommand},
};

int Run(const basilhoist::ctl_arguments& given) {
  for (const auto& each : kCommands) {
    if (!given.at(each.name).asBool()) continue;
    return leaf::try_handle_all([&] { return each.run(given); },
                                [&](const basilhoist::fault_list& list) {
                                  return basilhoist::PrintFaults(
                                      list.faults, given.at("--json").asBool());
                                },
                                [] { return basilhoist::kExitFailed; });
  }
  return basilhoist::kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  basilhoist::SetUpLogs({.process = "ctl", .quiet = true});
  try {
    const std::vector<std::string> words(argv + 1, argv + argc);
    return Run(docopt::docopt_parse(kUsage, words, true, true));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return EXIT_SUCCESS;
  } catch (const docopt::DocoptArgumentError&) {
    std::cerr << "basilhoist-ctl: wrong usage; see --help\n";
    return basilhoist::kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "basilhoist-ctl: " << error.what() << "\n";
    return basilhoist::kExitUsage;
  }
}
