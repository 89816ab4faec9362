// A site's merged settings, as commands of the tool need them.
#pragma once

#include <string>
#include <utility>

#include "basilhoist/settings/json_source.h"

namespace basilhoist::internal {

/// Reads a base file and an overlay and merges them, without checks.
inline leaf::result<json_source> ReadMerged(const std::string& base_path,
                                            const std::string& overlay_path) {
  BOOST_LEAF_AUTO(base, ReadJsonSource(base_path));
  BOOST_LEAF_AUTO(overlay, ReadJsonSource(overlay_path));
  return MergeJsonSources(std::move(base), overlay);
}

}  // namespace basilhoist::internal
