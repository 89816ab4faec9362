// What one instance hands another of a kind of objects.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "basilhoist/store/object.h"

namespace basilhoist {

/// @param since revision up to which the reader has everything; 0: nothing
/// @return all names, and the objects that changed later
std::string FormatSnapshot(const object_snapshot& snapshot,
                           std::uint64_t since);

/// Reads what FormatSnapshot made.
/// @param base what the reader has, for the objects that did not change
/// @return nothing if it cannot be read, or if the base lacks an object
std::optional<object_snapshot> ParseSnapshot(std::string_view text,
                                             const object_snapshot& base);

}  // namespace basilhoist
