#include "basilhoist/rollout/service_versions.h"

#include <algorithm>

namespace basilhoist {

std::vector<held_version> service_versions::OnAdded(
    const std::vector<listed_server_ptr>& added, instant now) {
  std::set<std::string> first_seen;
  std::vector<held_version> held;
  for (const listed_server_ptr& server : added) {
    const backend_server& info = server->info;
    service_record& record = services_[info.service];
    const bool was_special = IsSpecial(record);
    if (record.versions.empty()) first_seen.insert(info.service);
    const auto [version, is_new] = record.versions.try_emplace(
        info.version, listed_version{.held_until = now + kUnknownVersionHold});
    ++version->second.servers;
    version->second.first_start_ms =
        std::min(version->second.first_start_ms, info.started_at_ms);
    OnChanged(record, was_special);
    if (is_new) held.push_back({info.service, info.version});
  }
  for (const std::string& service : first_seen) {
    ChooseFirst(services_.at(service));
  }
  std::erase_if(held, [this, now](const held_version& each) {
    return InUse(each.service, each.version, now);
  });
  return held;
}

// Of several versions that are listed from the start, the one whose first
// server started first is in use; of versions that started at the same time,
// the one with most servers. During a rollout both may have as many.
void service_versions::ChooseFirst(service_record& record) {
  const auto oldest = std::min_element(
      record.versions.begin(), record.versions.end(),
      [](const auto& a, const auto& b) {
        return std::pair(a.second.first_start_ms, b.second.servers) <
               std::pair(b.second.first_start_ms, a.second.servers);
      });
  oldest->second.in_use = true;
}

void service_versions::OnRemoved(const listed_server& server) {
  const auto found = services_.find(server.info.service);
  if (found == services_.end()) return;
  const auto version = found->second.versions.find(server.info.version);
  if (version == found->second.versions.end()) return;
  if (--version->second.servers > 0) return;
  const bool was_special = IsSpecial(found->second);
  found->second.rejected.erase(version->first);
  found->second.versions.erase(version);
  OnChanged(found->second, was_special);
  if (found->second.versions.empty()) services_.erase(found);
}

void service_versions::OnChanged(const service_record& record,
                                 bool was_special) {
  const bool is_special = IsSpecial(record);
  if (is_special && !was_special) ++special_;
  if (!is_special && was_special) --special_;
}

bool service_versions::InUse(const std::string& service,
                             const std::string& version, instant now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return true;
  const auto& versions = found->second.versions;
  const auto own = versions.find(version);
  if (own == versions.end() || own->second.in_use) return true;
  std::size_t servers = 0;
  bool has_other = false;
  for (const auto& [name, each] : versions) {
    servers += each.servers;
    has_other = has_other || each.in_use;
  }
  // Without another version in use there is nothing to hold it for.
  return !has_other ||
         (own->second.held_until <= now && 2 * own->second.servers > servers);
}

bool service_versions::Lists(const std::string& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && !found->second.versions.empty();
}

bool service_versions::HasOther(const std::string& service,
                                const std::string& version) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return false;
  return std::any_of(
      found->second.versions.begin(), found->second.versions.end(),
      [&version](const auto& each) { return each.first != version; });
}

void service_versions::SetInUse(const std::string& service,
                                const std::string& version) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  Allow(service, version);
  const auto own = found->second.versions.find(version);
  if (own != found->second.versions.end()) own->second.in_use = true;
}

void service_versions::Reject(const std::string& service,
                              const std::string& version) {
  service_record& record = services_[service];
  const bool was_special = IsSpecial(record);
  record.rejected.insert(version);
  OnChanged(record, was_special);
}

void service_versions::Allow(const std::string& service,
                             const std::string& version) {
  const auto found = services_.find(service);
  if (found == services_.end()) return;
  const bool was_special = IsSpecial(found->second);
  found->second.rejected.erase(version);
  OnChanged(found->second, was_special);
}

bool service_versions::IsRejected(const std::string& service,
                                  const std::string& version) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.rejected.contains(version);
}

}  // namespace basilhoist
