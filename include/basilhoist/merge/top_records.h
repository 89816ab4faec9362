// Merges the shard results of a fan-out into the greatest records.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace basilhoist {

/// Size of a record in bytes. Trailing bytes of a shard result that do not fill
/// a record are ignored.
inline constexpr std::size_t kRecordBytes = 16;

/// Merges shard results, each a sequence of records in any order, into the
/// greatest records in descending order. Records are compared bytewise as
/// unsigned bytes; duplicates are kept.
/// @param shard_results views of the results; must outlive the call
/// @param max_records maximum number of records returned
/// @return the concatenated records
std::string MergeTopRecords(const std::vector<std::string_view>& shard_results,
                            std::size_t max_records);

}  // namespace basilhoist
