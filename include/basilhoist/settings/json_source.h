// JSON with comments that remembers where each value stands.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "basilhoist/base/error.h"

namespace basilhoist {

/// A file and a line in it, counted from 1.
struct source_position {
  std::string file;
  int line = 0;

  auto operator<=>(const source_position&) const = default;
};

/// A JSON value, and the position of each value in it by JSON pointer.
struct json_source {
  nlohmann::json value;
  std::map<std::string, source_position> positions;
};

/// Parses a text; comments and a key given twice are told apart from values.
/// @param text JSON with comments
/// @param file the name to use in positions and faults
/// @return the value, or error_code::kSyntax with a fault_list
leaf::result<json_source> ParseJsonSource(const std::string& text,
                                          const std::string& file);

/// Reads and parses a file.
/// @return the value, or kFileUnreadable or kSyntax with a fault_list
leaf::result<json_source> ReadJsonSource(const std::string& path);

/// Lays one value over another: objects merge key by key, all else replaces,
/// and null removes. Positions follow the value that won.
/// @return the merged value
json_source MergeJsonSources(json_source base, const json_source& overlay);

/// @return where the value stands, or where its nearest parent does
source_position FindPosition(const json_source& source, std::string pointer);

}  // namespace basilhoist
