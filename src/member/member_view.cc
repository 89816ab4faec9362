#include "basilhoist/member/member_view.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace basilhoist {
namespace {

using nlohmann::json;

json ToJson(const std::vector<member>& members) {
  json list = json::array();
  for (const auto& each : members) {
    list.push_back({{"name", each.name},
                    {"incarnation", each.incarnation},
                    {"failure_domain", each.failure_domain},
                    {"link", Format(each.link)},
                    {"ops", Format(each.ops)}});
  }
  return list;
}

std::vector<member> ToMembers(const json& list) {
  std::vector<member> members;
  for (const auto& each : list) {
    members.push_back(
        {.name = each.at("name").get<std::string>(),
         .incarnation = each.at("incarnation").get<std::uint64_t>(),
         .failure_domain = each.at("failure_domain").get<std::string>(),
         .link = ParseEndpoint(each.at("link").get<std::string>()),
         .ops = ParseEndpoint(each.at("ops").get<std::string>())});
  }
  std::sort(members.begin(), members.end());
  return members;
}

struct claim {
  bool far = false;
  std::uint64_t weight = 0;
  std::string name;

  auto operator<=>(const claim&) const = default;
};

}  // namespace

const member* member_view::Find(const std::string& name) const {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const member& each) { return each.name == name; });
  return found == members.end() ? nullptr : &*found;
}

std::string FormatMemberView(const member_view& view) {
  return json{{"version", view.epoch},
              {"members", ToJson(view.members)},
              {"previous", ToJson(view.previous)}}
      .dump();
}

leaf::result<member_view> ParseMemberView(const std::string& text) {
  try {
    const json value = json::parse(text);
    return member_view{.epoch = value.at("version").get<std::uint64_t>(),
                       .members = ToMembers(value.at("members")),
                       .previous = ToMembers(value.at("previous"))};
  } catch (const json::exception& error) {
    return leaf::new_error(error_code::kProtocol, error_detail{error.what()});
  }
}

std::vector<std::string> OwnerOrder(const member_view& view,
                                    const std::string& server,
                                    const std::string& failure_domain) {
  std::vector<claim> claims;
  for (const auto& each : view.members) {
    const std::string key = each.name + "/" + server;
    claims.push_back({.far = each.failure_domain != failure_domain,
                      .weight = XXH3_64bits(key.data(), key.size()),
                      .name = each.name});
  }
  std::sort(claims.begin(), claims.end());
  std::vector<std::string> names;
  for (const auto& each : claims) names.push_back(each.name);
  return names;
}

}  // namespace basilhoist
