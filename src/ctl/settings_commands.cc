#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "basilhoist/ctl/commands.h"
#include "basilhoist/ctl/ctl_session.h"
#include "basilhoist/document/document_table.h"
#include "basilhoist/settings/site_settings.h"
#include "merged_settings.h"

namespace basilhoist {

using internal::ReadMerged;
using nlohmann::json;

std::string ArgumentText(const ctl_arguments& given, const char* name) {
  const auto found = given.find(name);
  return found != given.end() && found->second.isString()
             ? found->second.asString()
             : std::string();
}

int PrintFaults(const std::vector<fault>& faults, bool as_json) {
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

leaf::result<int> CheckCommand(const ctl_arguments& given) {
  const std::string base = ArgumentText(given, "BASE");
  const bool as_json = given.at("--json").asBool();
  std::vector<site_settings> halves;
  std::vector<json_source> sources;
  std::vector<fault> faults;
  for (const auto& overlay : given.at("OVERLAY").asStringList()) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(merged, ReadMerged(base, overlay));
          BOOST_LEAF_AUTO(settings, CheckSettings(merged));
          halves.push_back(std::move(settings));
          sources.push_back(std::move(merged));
          return {};
        },
        [&](const fault_list& list) {
          faults.insert(faults.end(), list.faults.begin(), list.faults.end());
        },
        [] {});
  }
  const auto shared = FindSharedServers(halves, sources);
  faults.insert(faults.end(), shared.begin(), shared.end());
  if (!faults.empty()) return PrintFaults(faults, as_json);
  for (const auto& each : halves) {
    const auto servers = IndexServers(each).size();
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

leaf::result<int> ExplainCommand(const ctl_arguments& given) {
  if (!ArgumentText(given, "--instance").empty()) {
    return ExplainRequestCommand(given);
  }
  const auto overlays = given.at("OVERLAY").asStringList();
  BOOST_LEAF_AUTO(merged,
                  ReadMerged(ArgumentText(given, "BASE"), overlays.front()));
  const std::string key = ArgumentText(given, "--key");
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

leaf::result<int> DiffCommand(const ctl_arguments& given) {
  const auto overlays = given.at("OVERLAY").asStringList();
  BOOST_LEAF_AUTO(merged,
                  ReadMerged(ArgumentText(given, "BASE"), overlays.front()));
  BOOST_LEAF_AUTO(settings, CheckSettings(merged));
  ctl_session calls(given);
  const auto reply = calls.Get(DocumentKind(settings.site), kConfigDocument);
  const bool found = reply.outcome == call_outcome::kOk;
  if (!found && reply.outcome != call_outcome::kMissing) {
    std::cerr << "the store cannot be read\n";
    return kExitFailed;
  }
  const json content =
      found ? json::parse(reply.found.Text(), nullptr, false) : json::object();
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

}  // namespace basilhoist
