#include "basilhoist/knowledge/restore_beliefs.h"

#include <algorithm>
#include <chrono>

namespace basilhoist {

void restore_beliefs::Begin(std::uint64_t era, const object_map& held,
                            const std::vector<object>& ended, instant now) {
  era_ = era;
  until_ = now + kLifetime;
  hidden_.clear();
  for (const object& each : ended) ended_.insert_or_assign(each.name, each);
  for (const auto& [name, each] : held) {
    ended_.erase(name);
    if (policy_.keep_missing) kept_.insert(name);
  }
}

void restore_beliefs::Join(std::uint64_t era, const std::vector<object>& ended,
                           milliseconds time_left, instant now) {
  if (!MayJoin(era) || time_left <= milliseconds(0)) return;
  era_ = era;
  until_ = now + std::min(time_left, kLifetime);
  AddEnded(ended);
}

void restore_beliefs::AddEnded(const std::vector<object>& ended) {
  if (!Active()) return;
  for (const object& each : ended) ended_.emplace(each.name, each);
}

// An object without a rank has ended if the copy brought back the very state
// that was removed. After that it is written again under another revision.
bool restore_beliefs::HasEnded(const object& listed) const {
  const auto found = ended_.find(listed.name);
  if (found == ended_.end()) return false;
  return policy_.rank(listed) ? !policy_.IsNewer(listed, found->second)
                              : listed.revision == found->second.revision;
}

void restore_beliefs::CorrectListing(
    object_map& listed, const object_map& held,
    const std::set<std::string>& kept_by_peer) {
  if (!Active()) {
    for (const std::string& name : kept_by_peer) listed.erase(name);
    return;
  }
  hidden_.clear();
  std::erase_if(listed, [&](const auto& entry) {
    const bool ended = HasEnded(entry.second);
    if (ended && !kept_by_peer.contains(entry.first)) hidden_.insert(entry);
    return ended;
  });
  for (const auto& [name, each] : listed) kept_.erase(name);
  for (const std::string& name : kept_by_peer) {
    if (listed.contains(name)) kept_.insert(name);
  }
  for (const auto& [name, each] : held) {
    const auto found = listed.find(name);
    if (found == listed.end()) {
      if (kept_.contains(name)) listed.emplace(name, each);
    } else if (policy_.IsNewer(each, found->second)) {
      found->second = each;
    }
  }
}

bool restore_beliefs::AcceptsChange(const object& changed, const object* held) {
  if (!Active()) return true;
  if (held != nullptr && policy_.IsNewer(*held, changed)) return false;
  const auto ended = ended_.find(changed.name);
  if (ended != ended_.end()) {
    if (policy_.rank(changed) && !policy_.IsNewer(changed, ended->second)) {
      hidden_.insert_or_assign(changed.name, changed);
      return false;
    }
    ended_.erase(ended);
  }
  hidden_.erase(changed.name);
  kept_.erase(changed.name);
  return true;
}

void restore_beliefs::OnRemoved(const std::string& name) {
  hidden_.erase(name);
  kept_.erase(name);
}

bool restore_beliefs::Expire(object_map& held, instant now) {
  if (!Active() || now < until_) return false;
  bool changed = false;
  for (const std::string& name : kept_) changed |= held.erase(name) > 0;
  for (auto& [name, each] : hidden_) {
    changed |= held.emplace(name, std::move(each)).second;
  }
  until_ = {};
  ended_.clear();
  hidden_.clear();
  kept_.clear();
  return changed;
}

milliseconds restore_beliefs::TimeLeft(instant now) const {
  return Active() ? std::chrono::ceil<milliseconds>(
                        std::max(until_ - now, microseconds(0)))
                  : milliseconds(0);
}

}  // namespace basilhoist
