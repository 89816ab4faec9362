#include "basilhoist/knowledge/removal_log.h"

#include <iterator>
#include <utility>

namespace basilhoist {

void removal_log::ResetTo(std::uint64_t revision) {
  removed_.clear();
  complete_from_ = revision;
}

void removal_log::Add(removed_object removed) {
  removed_.push_back(std::move(removed));
  if (removed_.size() <= kMaxRemovals) return;
  complete_from_ = removed_.front().revision;
  removed_.pop_front();
}

void removal_log::Erase(const std::string& name) {
  std::erase_if(removed_, [&](const removed_object& removed) {
    return removed.last.name == name;
  });
}

std::vector<removed_object> removal_log::Since(std::uint64_t revision) const {
  std::vector<removed_object> later;
  for (const removed_object& removed : removed_) {
    if (removed.revision > revision) later.push_back(removed);
  }
  return later;
}

}  // namespace basilhoist
