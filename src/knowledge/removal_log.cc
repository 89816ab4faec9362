#include "basilhoist/knowledge/removal_log.h"

#include <iterator>
#include <utility>

namespace basilhoist {

void removal_log::BeginAt(std::uint64_t revision) {
  removed_.clear();
  complete_from_ = revision;
}

void removal_log::Add(removed_object removed) {
  removed_.push_back(std::move(removed));
  if (removed_.size() <= kMost) return;
  complete_from_ = removed_.front().revision;
  removed_.pop_front();
}

void removal_log::Erase(const std::string& name) {
  std::erase_if(removed_, [&](const removed_object& each) {
    return each.last.name == name;
  });
}

std::vector<removed_object> removal_log::Since(std::uint64_t revision) const {
  std::vector<removed_object> since;
  for (const removed_object& each : removed_) {
    if (each.revision > revision) since.push_back(each);
  }
  return since;
}

}  // namespace basilhoist
