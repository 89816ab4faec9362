#include "platform_store.h"

namespace basilhoist::standin {

object platform_store::Get(const std::string& kind,
                           const std::string& name) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) return {.name = name};
  const auto found = objects->second.find(name);
  return found == objects->second.end() ? object{.name = name} : found->second;
}

write_result platform_store::Put(const std::string& kind, const object& value) {
  const object present = Get(kind, value.name);
  if (present.revision != value.revision) {
    return {.outcome = call_outcome::kConflict, .value = present};
  }
  object& written = kinds_[kind][value.name];
  written = value;
  written.revision = ++revision_;
  return {.outcome = call_outcome::kOk, .value = written};
}

write_result platform_store::Remove(const std::string& kind,
                                    const std::string& name,
                                    std::uint64_t revision) {
  const object present = Get(kind, name);
  if (present.revision == 0) {
    return {.outcome = call_outcome::kMissing, .value = present};
  }
  if (present.revision != revision) {
    return {.outcome = call_outcome::kConflict, .value = present};
  }
  kinds_[kind].erase(name);
  ++revision_;
  return {.outcome = call_outcome::kOk, .value = present};
}

std::vector<object> platform_store::ChangedSince(const std::string& kind,
                                                 std::uint64_t after) const {
  std::vector<object> changed;
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end()) return changed;
  for (const auto& [name, each] : objects->second) {
    if (each.revision > after) changed.push_back(each);
  }
  return changed;
}

}  // namespace basilhoist::standin
