// The backend servers that the entries of a snapshot describe.
#pragma once

#include <memory>
#include <vector>

#include "basilhoist/router/platform_binding.h"

namespace basilhoist {

/// Decodes the entries of successive snapshots. Entries that are the same as in
/// the snapshot before are not decoded again.
class server_entries {
 public:
  explicit server_entries(std::shared_ptr<const content_decoder> decoder)
      : decoder_(std::move(decoder)) {}

  /// Malformed entries are logged and left out.
  /// @return the servers in the order of their names
  const std::vector<backend_server>& Decode(const object_snapshot& snapshot);

 private:
  struct decoded_entry {
    std::string name;
    object_content content;
    bool valid = false;
  };

  void LogMalformed() const;

  std::shared_ptr<const content_decoder> decoder_;
  std::vector<decoded_entry> entries_;   // in the order of their names
  std::vector<backend_server> servers_;  // of the valid entries
};

}  // namespace basilhoist
