// What one instance hands another of a kind of objects.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "basilhoist/knowledge/feed_state.h"

namespace basilhoist {

/// @param held what the instance has
/// @param since revision up to which the reader has everything; 0: nothing
/// @return what has changed later, or all of it if that is not known
std::string FormatSnapshot(const feed_state& held, std::uint64_t since,
                           instant now);

/// Reads what FormatSnapshot made.
/// @param base what the reader has, for the objects that did not change
/// @return nothing if it cannot be read, or if the base lacks earlier changes
std::optional<peer_snapshot> ParseSnapshot(std::string_view text,
                                           const object_snapshot& base,
                                           instant now);

}  // namespace basilhoist
