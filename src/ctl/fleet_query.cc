#include "basilhoist/ctl/fleet_query.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace basilhoist {
namespace {

constexpr milliseconds kCallTimeout{1000};
constexpr microseconds kAskAgainAfter = milliseconds(50);

std::uint64_t VersionIn(const instance_status& from,
                        const std::string& document) {
  const auto status = nlohmann::json::parse(from.status, nullptr, false);
  if (!status.is_object()) return 0;
  return status["documents"].value(document, std::uint64_t{0});
}

}  // namespace

fleet_query::fleet_query(event_loop& loop, http_client& http,
                         const std::string& instances)
    : loop_(loop), http_(http) {
  std::istringstream list(instances);
  for (std::string each; std::getline(list, each, ',');) {
    instances_.push_back(each);
  }
}

rpc_result fleet_query::Call(const std::string& where,
                             const std::string& method,
                             const std::string& parameter) {
  rpc_result outcome;
  outcome.error = where + " cannot be reached";
  const http_answer answer =
      Ask(where, "POST", "/rpc", MakeRpcRequest(method, parameter));
  if (answer.status != 0) outcome = ReadRpcResponse(answer.body);
  return outcome;
}

http_answer fleet_query::Ask(const std::string& where,
                             const std::string& method, const std::string& path,
                             const std::string& body) {
  http_answer answer;
  http_.Start({.method = method,
               .url = "http://" + where + path,
               .body = body,
               .timeout = kCallTimeout},
              [&](http_result& result) {
                if (result.HasReply()) {
                  answer = {.status = result.Status(), .body = result.Body()};
                }
                loop_.Stop();
              });
  loop_.Run();
  return answer;
}

std::vector<instance_status> fleet_query::StatusOfAll() {
  std::vector<instance_status> all;
  for (const auto& where : instances_) {
    const rpc_result result = Call(where, "status", "");
    all.push_back({where, result.ok, result.value});
  }
  return all;
}

std::uint64_t fleet_query::HighestVersion(const std::string& document) {
  std::uint64_t highest = 0;
  for (const auto& each : StatusOfAll()) {
    highest = std::max(highest, VersionIn(each, document));
  }
  return highest;
}

void fleet_query::Offer(const std::string& document,
                        const std::string& content) {
  const std::string text =
      nlohmann::json{{"name", document}, {"content", content}}.dump();
  for (const auto& where : instances_) {
    // Members pass it on: it needs to reach one only.
    if (Call(where, "offer", text).ok) return;
  }
}

std::vector<std::string> fleet_query::WaitForVersion(
    const std::string& document, std::uint64_t version, microseconds at_most) {
  const instant until = Now() + at_most;
  while (true) {
    std::vector<std::string> lagging;
    for (const auto& each : StatusOfAll()) {
      if (VersionIn(each, document) < version) lagging.push_back(each.where);
    }
    if (lagging.empty() || Now() >= until) return lagging;
    loop_.After(kAskAgainAfter, [this] { loop_.Stop(); });
    loop_.Run();
  }
}

}  // namespace basilhoist
