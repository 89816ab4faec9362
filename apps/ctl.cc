// basilhoist-ctl: the operators' tool.
#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "basilhoist/ctl/change.h"
#include "basilhoist/ctl/fleet_query.h"
#include "basilhoist/document/document_table.h"
#include "basilhoist/instance/drains.h"
#include "basilhoist/ops/log.h"
#include "basilhoist/settings/site_settings.h"

namespace {

namespace leaf = basilhoist::leaf;
using basilhoist::change_outcome;
using basilhoist::change_result;
using basilhoist::document_change;
using basilhoist::drain_kind;
using basilhoist::json_source;
using basilhoist::next_content;
using basilhoist::site_settings;
using nlohmann::json;

constexpr const char* kUsage = R"(basilhoist-ctl: the operators' tool.

Usage:
  basilhoist-ctl check BASE OVERLAY... [--json]
  basilhoist-ctl explain BASE OVERLAY [--key=KEY] [--json]
  basilhoist-ctl diff BASE OVERLAY --store=IP:PORT [--json]
  basilhoist-ctl apply BASE OVERLAY --store=IP:PORT [--instances=LIST]
                 [--operation=ID] [--based-on=VERSION] [--wait-s=S] [--json]
  basilhoist-ctl (drain | return) (domain | server) NAME --site=SITE
                 --store=IP:PORT [--instances=LIST] [--operation=ID]
                 [--wait-s=S] [--json]
  basilhoist-ctl status --instances=LIST [--json]
  basilhoist-ctl dump INSTANCE
  basilhoist-ctl (-h | --help)

Commands:
  check    Merges and checks settings; several overlays are the halves of a
           split, and no backend server may be named by two.
  explain  Shows each merged value with the file and line that it came from.
  diff     Shows what apply would change in the accepted settings.
  apply    Makes the settings the accepted ones.
  drain    Takes a failure domain or a backend server out: no new work.
  return   Brings it back.
  status   Shows all instances in brief.
  dump     Shows the whole state of one instance (IP:PORT of its ops port).

Options:
  --store=IP:PORT     The platform's object API.
  --instances=LIST    Ops ports of instances: IP:PORT,IP:PORT.
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
)";

constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
constexpr int kExitFailed = 5;

using arguments = std::map<std::string, docopt::value>;

std::string Text(const arguments& given, const char* name) {
  const auto found = given.find(name);
  return found != given.end() && found->second.isString()
             ? found->second.asString()
             : std::string();
}

int ExitCodeOf(change_outcome outcome) {
  switch (outcome) {
    case change_outcome::kAccepted:
      return EXIT_SUCCESS;
    case change_outcome::kRefused:
      return kExitRefused;
    case change_outcome::kOutrun:
      return 3;
    case change_outcome::kNotKnown:
      return 4;
    case change_outcome::kFailed:
      return kExitFailed;
  }
  return kExitFailed;
}

std::string MakeOperationId() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex << device() << device();
  return text.str();
}

leaf::result<json_source> ReadMerged(const std::string& base_path,
                                     const std::string& overlay_path) {
  BOOST_LEAF_AUTO(base, basilhoist::ReadJsonSource(base_path));
  BOOST_LEAF_AUTO(overlay, basilhoist::ReadJsonSource(overlay_path));
  return basilhoist::MergeJsonSources(std::move(base), overlay);
}

int PrintFaults(const std::vector<basilhoist::fault>& faults, bool as_json) {
  json list = json::array();
  for (const auto& each : faults) {
    if (!as_json) std::cerr << Format(each) << "\n";
    list.push_back({{"file", each.file},
                    {"line", each.line},
                    {"key", each.key},
                    {"message", each.message}});
  }
  if (as_json) std::cout << json{{"faults", list}}.dump() << "\n";
  return kExitRefused;
}

leaf::result<int> Check(const arguments& given) {
  const std::string base = Text(given, "BASE");
  const bool as_json = given.at("--json").asBool();
  std::vector<site_settings> halves;
  std::vector<json_source> sources;
  std::vector<basilhoist::fault> faults;
  for (const auto& overlay : given.at("OVERLAY").asStringList()) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(merged, ReadMerged(base, overlay));
          BOOST_LEAF_AUTO(settings, basilhoist::CheckSettings(merged));
          halves.push_back(std::move(settings));
          sources.push_back(std::move(merged));
          return {};
        },
        [&](const basilhoist::fault_list& list) {
          faults.insert(faults.end(), list.faults.begin(), list.faults.end());
        },
        [] {});
  }
  const auto shared = basilhoist::FindSharedServers(halves, sources);
  faults.insert(faults.end(), shared.begin(), shared.end());
  if (!faults.empty()) return PrintFaults(faults, as_json);
  for (const auto& each : halves) {
    const auto servers = basilhoist::IndexServers(each).size();
    if (as_json) {
      std::cout
          << json{{"site", each.site}, {"backend_servers", servers}}.dump()
          << "\n";
    } else {
      std::cout << each.site << ": " << each.groups.size()
                << " service groups, " << servers << " backend servers, "
                << each.failure_domains.size()
                << " failure domains; no faults\n";
    }
  }
  return EXIT_SUCCESS;
}

leaf::result<int> Explain(const arguments& given) {
  const auto overlays = given.at("OVERLAY").asStringList();
  BOOST_LEAF_AUTO(merged, ReadMerged(Text(given, "BASE"), overlays.front()));
  const std::string key = Text(given, "--key");
  json list = json::array();
  for (const auto& [pointer, position] : merged.positions) {
    const json& value = merged.value.at(json::json_pointer(pointer));
    const bool wanted =
        pointer.size() > 1 && pointer.substr(1).starts_with(key);
    if (!wanted || value.is_structured()) continue;
    list.push_back({{"key", pointer.substr(1)},
                    {"value", value},
                    {"file", position.file},
                    {"line", position.line}});
    if (given.at("--json").asBool()) continue;
    std::cout << pointer.substr(1) << " = " << value.dump() << "   ("
              << position.file << ":" << position.line << ")\n";
  }
  if (given.at("--json").asBool()) std::cout << list.dump() << "\n";
  return EXIT_SUCCESS;
}

// Runs the event loop for the calls of one command.
class session {
 public:
  explicit session(const arguments& given)
      : http_(loop_),
        store_(http_, Text(given, "--store"), ""),
        fleet_(loop_, http_, Text(given, "--instances")) {}

  basilhoist::store_reply Get(const std::string& key) {
    basilhoist::store_reply got;
    store_.Get(key, [&](const basilhoist::store_reply& reply) {
      got = reply;
      loop_.Stop();
    });
    loop_.Run();
    return got;
  }

  change_result Make(document_change change, const std::string& name) {
    change.known_version = fleet_.HighestVersion(name);
    change_result result;
    basilhoist::change_task task(loop_, store_, std::move(change),
                                 [&](const change_result& ended) {
                                   result = ended;
                                   loop_.Stop();
                                 });
    task.Start();
    loop_.Run();
    return result;
  }

  basilhoist::fleet_query& Fleet() { return fleet_; }

 private:
  basilhoist::event_loop loop_;
  basilhoist::http_client http_;
  basilhoist::store_client store_;
  basilhoist::fleet_query fleet_;
};

int Report(session& calls, const arguments& given, const std::string& document,
           const std::string& operation, const change_result& result) {
  const auto wait = std::stod(Text(given, "--wait-s"));
  std::vector<std::string> lagging;
  const bool accepted = result.outcome == change_outcome::kAccepted;
  if (accepted) calls.Fleet().Offer(document, result.content);
  if (accepted && wait > 0) {
    lagging = calls.Fleet().WaitForVersion(
        document, result.version,
        basilhoist::microseconds(static_cast<std::int64_t>(wait * 1e6)));
  }
  if (given.at("--json").asBool()) {
    std::cout << json{{"outcome", Name(result.outcome)},
                      {"document", document},
                      {"version", result.version},
                      {"operation", operation},
                      {"detail", result.detail},
                      {"not_in_force_on", lagging}}
                     .dump()
              << "\n";
  } else {
    std::cout << document << " version " << result.version << ": "
              << Name(result.outcome) << " (operation " << operation << ") "
              << result.detail << "\n";
    for (const auto& each : lagging) {
      std::cout << "not in force yet on " << each << "\n";
    }
  }
  return ExitCodeOf(result.outcome);
}

leaf::result<int> Apply(const arguments& given) {
  const auto overlays = given.at("OVERLAY").asStringList();
  BOOST_LEAF_AUTO(merged, ReadMerged(Text(given, "BASE"), overlays.front()));
  BOOST_LEAF_AUTO(settings, basilhoist::CheckSettings(merged));
  const std::string operation = Text(given, "--operation").empty()
                                    ? MakeOperationId()
                                    : Text(given, "--operation");
  const std::string based_on = Text(given, "--based-on");
  session calls(given);
  document_change change{
      .key = settings.site + ".doc." + basilhoist::kConfigDocument,
      .operation_id = operation,
      .based_on = based_on.empty() ? 0 : std::stoull(based_on)};
  change.make = [&](const std::string&, std::uint64_t version) {
    return next_content{.content = json{{"version", version},
                                        {"operation_id", operation},
                                        {"value", merged.value}}
                                       .dump()};
  };
  const auto result = calls.Make(change, basilhoist::kConfigDocument);
  return Report(calls, given, basilhoist::kConfigDocument, operation, result);
}

// A drain is a set: two operators' drains are merged, and no change of the
// settings touches them.
next_content ChangeDrains(const std::string& present, std::uint64_t version,
                          const std::string& operation,
                          const basilhoist::drain& which, bool out) {
  basilhoist::drain_list list;
  if (!present.empty()) {
    const bool read = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_ASSIGN(list, basilhoist::ParseDrains(present));
          return true;
        },
        [] { return false; });
    if (!read) return {.possible = false, .detail = "drains cannot be read"};
  }
  if (!out && !list.drains.contains(which)) {
    return {.possible = false, .detail = which.name + " is not drained."};
  }
  if (out) {
    list.drains.insert(which);
  } else {
    list.drains.erase(which);
  }
  list.version = version;
  list.operation_id = operation;
  return {.content = FormatDrains(list)};
}

// A name that the accepted settings do not know is a slip, and is refused.
std::string FindNameFault(const std::string& accepted,
                          const basilhoist::drain& which) {
  const json value = json::parse(accepted, nullptr, false);
  if (!value.is_object() || !value.contains("value")) return {};
  std::string fault;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(source, basilhoist::ParseJsonSource(
                                    value["value"].dump(), "accepted"));
        BOOST_LEAF_AUTO(settings, basilhoist::CheckSettings(source));
        const auto& domains = settings.failure_domains;
        const bool known =
            which.kind == drain_kind::kFailureDomain
                ? std::find(domains.begin(), domains.end(), which.name) !=
                      domains.end()
                : basilhoist::IndexServers(settings).contains(which.name);
        if (!known) fault = "The accepted settings name no " + which.name + ".";
        return {};
      },
      [] {});
  return fault;
}

leaf::result<int> Drain(const arguments& given) {
  const std::string site = Text(given, "--site");
  const basilhoist::drain which{given.at("domain").asBool()
                                    ? drain_kind::kFailureDomain
                                    : drain_kind::kBackendServer,
                                Text(given, "NAME")};
  const bool out = given.at("drain").asBool();
  const std::string operation = Text(given, "--operation").empty()
                                    ? MakeOperationId()
                                    : Text(given, "--operation");
  session calls(given);
  const auto accepted = calls.Get(site + ".doc." + basilhoist::kConfigDocument);
  if (!accepted.objects.empty()) {
    const std::string fault =
        FindNameFault(accepted.objects.front().content, which);
    if (!fault.empty()) {
      return Report(calls, given, basilhoist::kDrainsDocument, operation,
                    {change_outcome::kRefused, 0, fault});
    }
  }
  document_change change{.key = site + ".doc." + basilhoist::kDrainsDocument,
                         .operation_id = operation,
                         .mergeable = true};
  change.make = [&](const std::string& present, std::uint64_t version) {
    return ChangeDrains(present, version, operation, which, out);
  };
  const auto result = calls.Make(change, basilhoist::kDrainsDocument);
  return Report(calls, given, basilhoist::kDrainsDocument, operation, result);
}

leaf::result<int> Diff(const arguments& given) {
  const auto overlays = given.at("OVERLAY").asStringList();
  BOOST_LEAF_AUTO(merged, ReadMerged(Text(given, "BASE"), overlays.front()));
  BOOST_LEAF_AUTO(settings, basilhoist::CheckSettings(merged));
  session calls(given);
  const auto reply =
      calls.Get(settings.site + ".doc." + basilhoist::kConfigDocument);
  const bool found = !reply.objects.empty();
  if (!found && reply.outcome != basilhoist::store_outcome::kMissing) {
    std::cerr << "the store cannot be read\n";
    return kExitFailed;
  }
  const json content =
      found ? json::parse(reply.objects.front().content, nullptr, false)
            : json::object();
  const json accepted = content.value("value", json::object());
  const json patch = json::diff(accepted, merged.value);
  const auto version = content.value("version", std::uint64_t{0});
  if (given.at("--json").asBool()) {
    std::cout << json{{"version", version}, {"changes", patch}}.dump() << "\n";
    return EXIT_SUCCESS;
  }
  std::cout << "against accepted version " << version << ":\n";
  for (const auto& each : patch) {
    std::cout << each.value("op", "") << " " << each.value("path", "") << " "
              << (each.contains("value") ? each["value"].dump() : "") << "\n";
  }
  return EXIT_SUCCESS;
}

leaf::result<int> Status(const arguments& given) {
  session calls(given);
  const auto all = calls.Fleet().StatusOfAll();
  int missing = 0;
  json list = json::array();
  for (const auto& each : all) {
    missing += each.reached ? 0 : 1;
    const json status = json::parse(each.status, nullptr, false);
    list.push_back({{"instance", each.where},
                    {"reached", each.reached},
                    {"status", each.reached ? status : json()}});
    if (given.at("--json").asBool()) continue;
    if (!each.reached) {
      std::cout << each.where << "  cannot be reached\n";
      continue;
    }
    const json& versions = status["documents"];
    std::cout << each.where << "  " << status.value("name", "") << "  "
              << status.value("failure_domain", "") << "  "
              << (status.value("ready", false) ? "ready" : "not ready")
              << "  epoch " << status.value("epoch", 0) << "  lease "
              << (status.value("lease_valid", false) ? "valid" : "lapsed")
              << "  store " << (status.value("store_up", false) ? "up" : "-")
              << "  config " << versions.value("config", 0) << "  drains "
              << versions.value("drains", 0) << "  index "
              << versions.value("index", 0) << "\n";
  }
  if (given.at("--json").asBool()) std::cout << list.dump() << "\n";
  return missing == 0 ? EXIT_SUCCESS : kExitFailed;
}

leaf::result<int> Dump(const arguments& given) {
  session calls(given);
  const auto result = calls.Fleet().Call(Text(given, "INSTANCE"), "dump", "");
  if (!result.ok) {
    std::cerr << result.error << "\n";
    return kExitFailed;
  }
  std::cout << json::parse(result.value, nullptr, false).dump(2) << "\n";
  return EXIT_SUCCESS;
}

struct command {
  const char* name;
  leaf::result<int> (*run)(const arguments&);
};

constexpr command kCommands[] = {
    {"check", &Check},   {"explain", &Explain}, {"diff", &Diff},
    {"apply", &Apply},   {"drain", &Drain},     {"return", &Drain},
    {"status", &Status}, {"dump", &Dump},
};

int Run(const arguments& given) {
  for (const auto& each : kCommands) {
    if (!given.at(each.name).asBool()) continue;
    return leaf::try_handle_all([&] { return each.run(given); },
                                [&](const basilhoist::fault_list& list) {
                                  return PrintFaults(
                                      list.faults, given.at("--json").asBool());
                                },
                                [] { return kExitFailed; });
  }
  return kExitUsage;
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
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "basilhoist-ctl: " << error.what() << "\n";
    return kExitUsage;
  }
}
