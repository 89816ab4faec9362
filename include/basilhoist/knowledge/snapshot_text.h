// The JSON text in which one instance sends another its snapshot of a kind.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "basilhoist/knowledge/feed_state.h"

namespace basilhoist {

/// Encodes a snapshot for a peer.
/// @param state the feed whose snapshot is sent
/// @param since the revision of the peer's snapshot; 0 if it has none
/// @param era the era of the peer's snapshot; nothing if the peer does not know
///   of eras
/// @return the changes after that revision, or the whole snapshot if not all
///   removals since then are known
std::string FormatSnapshot(const feed_state& state, std::uint64_t since,
                           instant now,
                           std::optional<std::uint64_t> era = std::nullopt);

/// Decodes the text of FormatSnapshot.
/// @param base the receiver's own snapshot, which has the unchanged objects
/// @return nothing if the text is malformed, or if the base is older than the
///   revision from which the changes start
std::optional<peer_snapshot> ParseSnapshot(std::string_view text,
                                           const object_snapshot& base,
                                           instant now);

}  // namespace basilhoist
