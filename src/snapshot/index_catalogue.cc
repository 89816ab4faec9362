#include "basilhoist/snapshot/index_catalogue.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace basilhoist {
namespace {

using nlohmann::json;

struct version_score {
  double shards = 0;  // share of its shards that can be served
  std::size_t replicas = 0;
  std::uint64_t version = 0;

  auto operator<=>(const version_score&) const = default;
};

bool CanServe(const replica_state& state, std::uint64_t version) {
  const bool held = !state.versions.Known() || state.versions.Holds(version);
  return state.usable && held;
}

// Versions may differ in their number of shards, so shares are compared.
version_score Score(const index_version& version,
                    const replica_states& states) {
  std::size_t served = 0;
  version_score score{.version = version.version};
  for (const auto& part : version.shards) {
    const auto usable = static_cast<std::size_t>(std::count_if(
        part.servers.begin(), part.servers.end(), [&](const auto& server) {
          return CanServe(states.StateOf(server), version.version);
        }));
    score.replicas += usable;
    served += usable > 0 ? 1 : 0;
  }
  if (!version.shards.empty()) {
    score.shards = static_cast<double>(served) /
                   static_cast<double>(version.shards.size());
    score.replicas = score.replicas * 1000 / version.shards.size();
  }
  return score;
}

shard ReadShard(const std::string& name, const json& servers) {
  return {.name = name, .servers = servers.get<std::vector<std::string>>()};
}

index_version ReadVersion(const json& value) {
  index_version result{.version = value.at("version").get<std::uint64_t>()};
  for (const auto& [name, servers] : value.at("shards").items()) {
    result.shards.push_back(ReadShard(name, servers));
  }
  return result;
}

index_catalogue ReadCatalogue(const json& value) {
  index_catalogue result;
  for (const auto& [name, group] : value.at("groups").items()) {
    auto& versions = result.groups[name].versions;
    for (const auto& version : group.at("versions")) {
      versions.push_back(ReadVersion(version));
    }
    std::sort(
        versions.begin(), versions.end(),
        [](const auto& a, const auto& b) { return a.version < b.version; });
  }
  return result;
}

}  // namespace

leaf::result<index_catalogue> ParseIndexCatalogue(const std::string& text) {
  try {
    return ReadCatalogue(json::parse(text));
  } catch (const json::exception& error) {
    return leaf::new_error(error_code::kProtocol, error_detail{error.what()});
  }
}

std::string FormatIndexCatalogue(const index_catalogue& catalogue) {
  json groups = json::object();
  for (const auto& [name, group] : catalogue.groups) {
    json versions = json::array();
    for (const auto& version : group.versions) {
      json shards = json::object();
      for (const auto& part : version.shards) shards[part.name] = part.servers;
      versions.push_back({{"version", version.version}, {"shards", shards}});
    }
    groups[name] = {{"versions", versions}};
  }
  return json{{"groups", groups}}.dump();
}

const index_version* ChooseVersion(const group_index& index,
                                   const replica_states& states) {
  const index_version* best = nullptr;
  version_score best_score;
  for (const auto& version : index.versions) {
    const version_score score = Score(version, states);
    if (best != nullptr && score <= best_score) continue;
    best = &version;
    best_score = score;
  }
  return best;
}

const shard* ShardForKey(const index_version& version, const std::string& key) {
  if (version.shards.empty()) return nullptr;
  const auto hash = XXH3_64bits(key.data(), key.size());
  return &version.shards[hash % version.shards.size()];
}

}  // namespace basilhoist
