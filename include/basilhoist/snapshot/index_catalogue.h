// Which shards each index version has, and which backend servers hold them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilhoist/base/error.h"

namespace basilhoist {

/// One part of an index version.
struct shard {
  std::string name;
  std::vector<std::string> servers;  ///< Those that hold a replica.

  auto operator<=>(const shard&) const = default;
};

/// The shard map of one version of an index.
struct index_version {
  std::uint64_t version = 0;
  std::vector<shard> shards;

  auto operator<=>(const index_version&) const = default;
};

/// The published versions of one group's index, oldest first.
struct group_index {
  std::vector<index_version> versions;

  auto operator<=>(const group_index&) const = default;
};

/// The published versions of every group's index.
struct index_catalogue {
  std::map<std::string, group_index> groups;

  auto operator<=>(const index_catalogue&) const = default;
};

/// Reads the platform's "index" document:
/// {"groups": {NAME: {"versions": [{"version": N, "shards": {NAME:
/// [SERVER]}}]}}}
/// @return the catalogue, or error_code::kProtocol
leaf::result<index_catalogue> ParseIndexCatalogue(const std::string& json);

/// @return the document's text for a catalogue
std::string FormatIndexCatalogue(const index_catalogue& catalogue);

/// The span of index versions that a backend server says it serves.
struct version_range {
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;

  auto operator<=>(const version_range&) const = default;

  /// @return whether it is known and holds the version
  [[nodiscard]] bool Holds(std::uint64_t version) const {
    return oldest <= version && version <= newest;
  }
  [[nodiscard]] bool Known() const { return newest != 0; }
};

/// What the choice of a version needs to know about one server.
struct replica_state {
  bool usable = true;      ///< It may get new work.
  version_range versions;  ///< Unknown versions count as held.
};

/// Answers what is known of a server.
class replica_states {
 public:
  virtual ~replica_states() = default;
  [[nodiscard]] virtual replica_state StateOf(
      const std::string& server) const = 0;
};

/// Chooses the version to pin a query to: the one that the most shards can
/// serve, then the one with the most replicas, then the newest.
/// @return the version, or null where none is published
const index_version* ChooseVersion(const group_index& index,
                                   const replica_states& states);

/// @return the shard that a record key falls into, or null without shards
const shard* ShardForKey(const index_version& version, const std::string& key);

}  // namespace basilhoist
