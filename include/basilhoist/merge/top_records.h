// The greatest records of several parts.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace basilhoist {

/// Size of a record in bytes; a shorter rest of a part is no record.
inline constexpr std::size_t kRecordBytes = 16;

/// Merges parts of unordered records into the greatest ones, greatest first,
/// compared byte by byte. Equal records all count.
/// @param parts views of the parts; must outlive the call
/// @param most records of the result at most
/// @return the records, one after the other
std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            std::size_t most);

}  // namespace basilhoist
