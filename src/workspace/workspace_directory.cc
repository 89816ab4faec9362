#include "basilhoist/workspace/workspace_directory.h"

#include <set>
#include <utility>

namespace basilhoist {

workspace_directory::workspace_directory(std::vector<workspace> workspaces)
    : workspaces_(std::move(workspaces)) {
  for (const workspace& each : workspaces_) {
    by_name_.emplace(each.name, &each);
    for (const std::string& key : each.api_keys) {
      by_digest_.emplace(DigestOf(key),
                         key_holder{.holder = &each, .key = &key});
    }
  }
}

std::optional<std::string> workspace_directory::FindFault(
    const std::vector<workspace>& workspaces) {
  std::set<std::string> names;
  std::map<std::string_view, const workspace*> holders;
  for (const workspace& each : workspaces) {
    if (each.name.empty()) return "a workspace has no name";
    if (!names.insert(each.name).second) {
      return "two workspaces have the name " + each.name;
    }
    for (const std::string& key : each.api_keys) {
      if (key.empty()) return "workspace " + each.name + " has an empty key";
      const workspace* holder = holders.emplace(key, &each).first->second;
      if (holder != &each) {
        return "workspaces " + holder->name + " and " + each.name +
               " have the same key " + LogLabel(key);
      }
    }
  }
  return std::nullopt;
}

const workspace* workspace_directory::FindByKey(std::string_view key) const {
  const auto found = by_digest_.find(DigestOf(key));
  if (found == by_digest_.end()) return nullptr;
  return SameKey(*found->second.key, key) ? found->second.holder : nullptr;
}

const workspace* workspace_directory::FindByDigest(
    const api_key_digest& digest) const {
  const auto found = by_digest_.find(digest);
  return found == by_digest_.end() ? nullptr : found->second.holder;
}

const workspace* workspace_directory::FindByName(
    const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

}  // namespace basilhoist
