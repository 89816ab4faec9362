#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "basilhoist/ctl/commands.h"
#include "basilhoist/ctl/ctl_session.h"

namespace basilhoist {

using nlohmann::json;

leaf::result<int> StatusCommand(const ctl_arguments& given) {
  ctl_session calls(given);
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

leaf::result<int> DumpCommand(const ctl_arguments& given) {
  ctl_session calls(given);
  const auto result =
      calls.Fleet().Call(ArgumentText(given, "INSTANCE"), "dump", "");
  if (!result.ok) {
    std::cerr << result.error << "\n";
    return kExitFailed;
  }
  std::cout << json::parse(result.value, nullptr, false).dump(2) << "\n";
  return EXIT_SUCCESS;
}

}  // namespace basilhoist
