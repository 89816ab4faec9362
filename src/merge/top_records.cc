#include "basilhoist/merge/top_records.h"

#include <algorithm>
#include <cstring>

namespace basilhoist {

std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            std::size_t most) {
  const auto greater = [](const char* left, const char* right) {
    return std::memcmp(left, right, kRecordBytes) > 0;
  };
  // A heap with the least of the records kept on top.
  std::vector<const char*> kept;
  kept.reserve(most + 1);
  for (const std::string_view part : parts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      const char* record = part.data() + at;
      if (kept.size() == most && (most == 0 || !greater(record, kept.front())))
        continue;
      kept.push_back(record);
      std::push_heap(kept.begin(), kept.end(), greater);
      if (kept.size() <= most) continue;
      std::pop_heap(kept.begin(), kept.end(), greater);
      kept.pop_back();
    }
  }
  std::sort_heap(kept.begin(), kept.end(), greater);
  std::string merged;
  merged.reserve(kept.size() * kRecordBytes);
  for (const char* record : kept) merged.append(record, kRecordBytes);
  return merged;
}

}  // namespace basilhoist
