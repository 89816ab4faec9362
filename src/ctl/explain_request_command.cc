#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>

#include "basilhoist/ctl/commands.h"
#include "basilhoist/ctl/ctl_session.h"
#include "basilhoist/explain/explain_request.h"

namespace basilhoist {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr int kOk = 200;

// Numbers have as many digits as operators compare.
std::string Text(const ordered_json& value) {
  if (value.is_number_float()) {
    std::ostringstream text;
    text << std::setprecision(4) << value.get<double>();
    return text.str();
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Prints the fields of an object as "name=value", except some.
void PrintFields(const ordered_json& object,
                 const std::set<std::string>& except) {
  for (const auto& [name, value] : object.items()) {
    if (except.contains(name) || value.is_null()) continue;
    std::cout << "  " << name << "=" << Text(value);
  }
  std::cout << "\n";
}

void PrintServers(const ordered_json& service) {
  int place = 0;
  for (const ordered_json& server : service["servers"]) {
    const bool excluded = server["role"] == "excluded";
    std::cout << "    " << (excluded ? "-" : std::to_string(++place)) << "  "
              << Text(server["server"]) << "  ";
    if (excluded) {
      std::cout << "excluded: " << Text(server["block"]);
      const ordered_json& ends = server["block_ends_in_ms"];
      if (!ends.is_null()) std::cout << " for " << Text(ends) << " ms";
    } else {
      std::cout << Text(server["role"]);
    }
    PrintFields(server, {"server", "role", "block", "block_ends_in_ms"});
  }
  if (service.contains("servers_left_out")) {
    std::cout << "    and " << Text(service["servers_left_out"]) << " more\n";
  }
}

void PrintText(const ordered_json& answer) {
  const ordered_json& decisive = answer["decided_by"];
  if (decisive.is_null()) {
    std::cout << "would be sent";
    if (answer["handed_over"] == true) std::cout << " by a peer";
    std::cout << "\n";
  } else {
    std::cout << "would be refused by " << Text(decisive["check"])
              << " with status " << Text(decisive["status"]) << "\n";
  }
  std::cout << "route";
  PrintFields(answer["route"].is_null() ? ordered_json{{"name", "none"}}
                                        : answer["route"],
              {});
  std::cout << "workspace  "
            << (answer["workspace"].is_null() ? "none"
                                              : Text(answer["workspace"]));
  if (!answer["key"].is_null()) std::cout << "  key=" << Text(answer["key"]);
  std::cout << "\nchecks\n";
  for (const ordered_json& check : answer["checks"]) {
    std::cout << "  " << Text(check["check"]) << ": "
              << (check["passed"] == true ? "passed" : "refused");
    PrintFields(check, {"check", "passed"});
  }
  std::cout << "servers, in the order of choice\n";
  for (const ordered_json& service : answer["services"]) {
    std::cout << "  " << Text(service["service"]);
    PrintFields(service, {"service", "servers", "servers_left_out"});
    PrintServers(service);
  }
  std::cout << "data";
  PrintFields(answer["data"], {"feeds"});
  for (const ordered_json& feed : answer["data"]["feeds"]) {
    std::cout << "  feed " << Text(feed["kind"]);
    PrintFields(feed, {"kind"});
  }
}

int PrintFault(const http_answer& reply, const std::string& where) {
  const json answer = json::parse(reply.body, nullptr, false);
  if (!answer.is_object() || !answer.contains("error")) {
    std::cerr << where
              << (reply.status == 0 ? " cannot be reached\n"
                                    : " does not explain requests\n");
    return kExitFailed;
  }
  const json& error = answer["error"];
  std::cerr << error.value("field", "") << ": " << error.value("message", "")
            << "\n";
  return kExitRefused;
}

}  // namespace

// The request goes in the body: an URL with a key would be logged on its way.
leaf::result<int> ExplainRequestCommand(const ctl_arguments& given) {
  ctl_session calls(given);
  const std::string where = ArgumentText(given, "--instance");
  const json request = {{"method", ArgumentText(given, "METHOD")},
                        {"url", ArgumentText(given, "URL")},
                        {"headers", given.at("--header").asStringList()}};
  const std::string text =
      request.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMaxExplainBytes) {
    std::cerr << "url, headers: are longer than " << kMaxExplainBytes
              << " bytes together\n";
    return kExitRefused;
  }
  const http_answer reply =
      calls.Fleet().Ask(where, "POST", std::string(kExplainPath), text);
  if (reply.status != kOk) return PrintFault(reply, where);
  const auto answer = ordered_json::parse(reply.body, nullptr, false);
  if (!answer.is_object()) {
    std::cerr << where << " gave an answer that cannot be read\n";
    return kExitFailed;
  }
  if (given.at("--json").asBool()) {
    std::cout << answer.dump() << "\n";
  } else {
    PrintText(answer);
  }
  return EXIT_SUCCESS;
}

}  // namespace basilhoist
