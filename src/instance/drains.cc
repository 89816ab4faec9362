#include "basilhoist/instance/drains.h"

#include <nlohmann/json.hpp>

namespace basilhoist {
namespace {

using nlohmann::json;

constexpr std::string_view kDomainName = "failure_domain";
constexpr std::string_view kServerName = "backend_server";

}  // namespace

std::string_view Name(drain_kind kind) {
  return kind == drain_kind::kFailureDomain ? kDomainName : kServerName;
}

leaf::result<drain_list> ParseDrains(const std::string& text) {
  try {
    const json value = json::parse(text);
    drain_list list{.version = value.at("version").get<std::uint64_t>(),
                    .operation_id = value.value("operation_id", "")};
    for (const auto& each : value.at("drains")) {
      const bool domain = each.at("kind").get<std::string>() == kDomainName;
      list.drains.insert(
          {domain ? drain_kind::kFailureDomain : drain_kind::kBackendServer,
           each.at("name").get<std::string>()});
    }
    return list;
  } catch (const json::exception& error) {
    return leaf::new_error(error_code::kProtocol, error_detail{error.what()});
  }
}

std::string FormatDrains(const drain_list& list) {
  json drains = json::array();
  for (const auto& each : list.drains) {
    drains.push_back({{"kind", Name(each.kind)}, {"name", each.name}});
  }
  return json{{"version", list.version},
              {"operation_id", list.operation_id},
              {"drains", drains}}
      .dump();
}

std::set<std::string> BarredServers(const drain_list& list,
                                    const site_settings& settings) {
  std::set<std::string> barred;
  for (const auto& [name, entry] : IndexServers(settings)) {
    const drain by_domain{drain_kind::kFailureDomain,
                          entry.server.failure_domain};
    const drain by_server{drain_kind::kBackendServer, name};
    if (list.drains.contains(by_domain) || list.drains.contains(by_server)) {
      barred.insert(name);
    }
  }
  return barred;
}

}  // namespace basilhoist
