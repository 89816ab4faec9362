#include "basilhoist/merge/top_records.h"

#include <algorithm>
#include <cstring>

namespace basilhoist {

std::string MergeTopRecords(const std::vector<std::string_view>& shard_results,
                            std::size_t max_records) {
  const auto greater = [](const char* left, const char* right) {
    return std::memcmp(left, right, kRecordBytes) > 0;
  };
  // A heap with the smallest record at the front; it holds the greatest records
  // seen so far.
  std::vector<const char*> heap;
  heap.reserve(max_records + 1);
  for (const std::string_view result : shard_results) {
    for (std::size_t offset = 0; offset + kRecordBytes <= result.size();
         offset += kRecordBytes) {
      const char* record = result.data() + offset;
      if (heap.size() == max_records &&
          (max_records == 0 || !greater(record, heap.front())))
        continue;
      heap.push_back(record);
      std::push_heap(heap.begin(), heap.end(), greater);
      if (heap.size() <= max_records) continue;
      std::pop_heap(heap.begin(), heap.end(), greater);
      heap.pop_back();
    }
  }
  std::sort_heap(heap.begin(), heap.end(), greater);
  std::string merged;
  merged.reserve(heap.size() * kRecordBytes);
  for (const char* record : heap) merged.append(record, kRecordBytes);
  return merged;
}

}  // namespace basilhoist
