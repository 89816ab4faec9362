#include "platform_store.h"

namespace basilhoist::standin {

stored_object platform_store::Get(const std::string& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? stored_object{.key = key} : found->second;
}

store_reply platform_store::Put(const std::string& key,
                                std::uint64_t if_revision,
                                const std::string& content) {
  if (Get(key).revision != if_revision) {
    return {.outcome = store_outcome::kConflict};
  }
  objects_[key] = {key, ++revision_, content};
  return {.outcome = store_outcome::kOk, .revision = revision_};
}

store_reply platform_store::Remove(const std::string& key,
                                   std::uint64_t if_revision) {
  const std::uint64_t present = Get(key).revision;
  if (present == 0) return {.outcome = store_outcome::kMissing};
  if (present != if_revision) return {.outcome = store_outcome::kConflict};
  objects_.erase(key);
  return {.outcome = store_outcome::kOk, .revision = ++revision_};
}

std::vector<stored_object> platform_store::ChangedSince(
    const std::string& prefix, std::uint64_t after) const {
  std::vector<stored_object> changed;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    if (it->second.revision > after) changed.push_back(it->second);
  }
  return changed;
}

std::size_t platform_store::Count(const std::string& prefix) const {
  std::size_t count = 0;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    ++count;
  }
  return count;
}

}  // namespace basilhoist::standin
