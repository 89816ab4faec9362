#include "basilhoist/directory/server_directory.h"

#include <xxhash.h>

#include <algorithm>

namespace basilhoist {

std::uint64_t backend_server::IncarnationHash() const {
  const std::string incarnation = id + "/" + std::to_string(started_at_ms);
  return XXH64(incarnation.data(), incarnation.size(), 0);
}

// Snapshots come often while servers start and leave, and mostly list what is
// listed already: entries that stay are moved over, and indexes are rebuilt
// only if servers came or left.
void server_directory::Apply(const std::vector<backend_server>& servers,
                             instant now, instant missing_since) {
  std::map<std::string, listed_server_ptr> next;
  bool any_missing = false;
  std::vector<listed_server_ptr> all_added;
  for (const backend_server& each : servers) {
    const auto known = by_id_.find(each.id);
    if (known != by_id_.end() && known->second->info.SameIncarnation(each)) {
      Update(*known->second, each, now);
      next.insert(next.end(), by_id_.extract(known));
      continue;
    }
    all_added.push_back(Add(each, now));
    next.emplace_hint(next.end(), each.id, all_added.back());
  }
  if (!by_id_.empty()) {
    RetainMissing(servers, missing_since, next);
    any_missing = true;
  }
  by_id_ = std::move(next);
  if (any_missing || !all_added.empty()) RebuildServiceIndex();
  if (on_added_ && !all_added.empty()) on_added_(all_added);
}

void server_directory::Update(listed_server& server,
                              const backend_server& entry, instant now) {
  server.missing = false;
  if (server.info == entry) return;
  if (server.info.warmup_left != entry.warmup_left) {
    server.cold_until = now + entry.warmup_left;
  }
  server.info = entry;
}

listed_server_ptr server_directory::Add(const backend_server& entry,
                                        instant now) {
  auto added = std::make_shared<listed_server>();
  added->key = ++last_key_;
  added->incarnation = entry.IncarnationHash();
  added->info = entry;
  added->cold_until = now + entry.warmup_left;
  return added;
}

// What is left in by_id_ is not listed any more, or another incarnation is.
void server_directory::RetainMissing(
    const std::vector<backend_server>& servers, instant missing_since,
    std::map<std::string, listed_server_ptr>& next) {
  std::set<endpoint> addresses;
  for (const backend_server& each : servers) addresses.insert(each.address);
  for (auto& [id, server] : by_id_) {
    const bool replaced =
        next.contains(id) || addresses.contains(server->info.address);
    if (replaced || server->info.draining) {
      Remove(*server);
      continue;
    }
    if (!server->missing) server->missing_since = missing_since;
    server->missing = true;
    next.emplace(id, server);
  }
}

void server_directory::ApplyFinalEntries(
    const std::vector<backend_server>& servers) {
  for (const backend_server& each : servers) {
    const auto known = by_id_.find(each.id);
    if (known == by_id_.end() || !known->second->info.SameIncarnation(each))
      continue;
    known->second->info.draining = each.draining;
  }
}

bool server_directory::Expire(instant now) {
  const std::size_t before = by_id_.size();
  for (auto each = by_id_.begin(); each != by_id_.end();) {
    listed_server& server = *each->second;
    if (server.missing && now - server.missing_since >= kMissingGrace) {
      Remove(server);
      each = by_id_.erase(each);
    } else {
      ++each;
    }
  }
  if (by_id_.size() == before) return false;
  RebuildServiceIndex();
  return true;
}

std::size_t server_directory::MissingCount() const {
  return static_cast<std::size_t>(
      std::count_if(by_id_.begin(), by_id_.end(),
                    [](const auto& entry) { return entry.second->missing; }));
}

const std::vector<listed_server_ptr>& server_directory::ServersOf(
    const std::string& service) const {
  static const std::vector<listed_server_ptr> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

void server_directory::RebuildServiceIndex() {
  by_service_.clear();
  for (const auto& [id, server] : by_id_) {
    by_service_[server->info.service].push_back(server);
  }
}

void server_directory::Remove(listed_server& server) {
  server.removed = true;
  if (on_removed_) on_removed_(server);
}

}  // namespace basilhoist
