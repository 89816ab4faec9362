#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>

#include "basilhoist/ctl/commands.h"
#include "basilhoist/ctl/ctl_session.h"

namespace basilhoist {
namespace {

using nlohmann::ordered_json;

constexpr int kOk = 200;

std::string Text(const ordered_json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) return "-";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

void Print(const ordered_json& rollout) {
  std::cout << "  " << Text(rollout, "service") << " to "
            << Text(rollout, "target_version") << " within "
            << Text(rollout, "duration_ms") << " ms  store "
            << Text(rollout, "stored_state") << " at revision "
            << Text(rollout, "revision") << "  age " << Text(rollout, "age_ms")
            << " ms  verdict " << Text(rollout, "verdict")
            << "\n    own answers: " << Text(rollout, "own_target_answers")
            << " of the target, " << Text(rollout, "own_old_answers")
            << " of the old version\n"
            << "    deciders " << Text(rollout, "deciders") << "\n";
  const auto decision = rollout.find("decision");
  if (decision == rollout.end()) return;
  std::cout << "    decides here: " << Text(*decision, "verdict") << "  reason "
            << Text(*decision, "reason") << "  fault "
            << Text(*decision, "fault") << "  bad share "
            << Text(*decision, "bad_share") << " (old "
            << Text(*decision, "old_bad_share") << ")  answers "
            << Text(*decision, "target_answers") << " (old "
            << Text(*decision, "old_answers") << ")  routers reporting "
            << Text(*decision, "reporting") << "\n";
}

void Print(const ordered_json& instance, bool reached) {
  std::cout << Text(instance, "instance") << "  "
            << (reached ? Text(instance, "name") : "cannot be reached") << "\n";
  if (!reached) return;
  if (instance["rollouts"].empty()) std::cout << "  no rollouts\n";
  for (const ordered_json& each : instance["rollouts"]) Print(each);
}

}  // namespace

leaf::result<int> RolloutsCommand(const ctl_arguments& given) {
  ctl_session calls(given);
  const bool as_json = given.at("--json").asBool();
  bool all_reached = true;
  ordered_json list = ordered_json::array();
  for (const std::string& where : calls.Fleet().Instances()) {
    const http_answer reply = calls.Fleet().Ask(where, "GET", "/dump", {});
    const auto dump = reply.status == kOk
                          ? ordered_json::parse(reply.body, nullptr, false)
                          : ordered_json();
    const bool reached = dump.is_object() && dump.contains("rollouts");
    all_reached = all_reached && reached;
    ordered_json entry = {{"instance", where}, {"reached", reached}};
    if (reached) {
      entry["name"] = dump.value("name", "");
      entry["rollouts"] = dump["rollouts"];
    }
    if (!as_json) Print(entry, reached);
    list.push_back(std::move(entry));
  }
  if (as_json) std::cout << list.dump() << "\n";
  return all_reached ? EXIT_SUCCESS : kExitFailed;
}

}  // namespace basilhoist
