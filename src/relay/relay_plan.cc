#include "basilhoist/relay/relay_plan.h"

#include <map>

namespace basilhoist {
namespace {

// A batch costs one frame in each direction and saves all but one of its
// replies, so one of fewer than three shards costs more than it saves.
constexpr std::size_t kMinBatchSize = 3;

// Returns the remaining shards that have a server in the domain.
relay_batch BatchForDomain(const std::vector<shard_location>& locations,
                           const std::set<std::size_t>& remaining,
                           const std::string& domain) {
  relay_batch batch{.failure_domain = domain};
  for (const std::size_t shard : remaining) {
    if (locations[shard].failure_domains.contains(domain)) {
      batch.shards.push_back(shard);
    }
  }
  return batch;
}

void Remove(std::set<std::size_t>& remaining, const relay_batch& batch) {
  for (const std::size_t shard : batch.shards) remaining.erase(shard);
}

}  // namespace

std::vector<relay_batch> PlanRelayBatches(
    const std::vector<shard_location>& locations,
    const std::string& local_domain, const std::set<std::string>& relay_domains,
    std::size_t rotation) {
  std::set<std::size_t> remaining;
  for (std::size_t i = 0; i < locations.size(); ++i) remaining.insert(i);
  std::vector<relay_batch> batches;
  relay_batch local = BatchForDomain(locations, remaining, local_domain);
  Remove(remaining, local);
  if (relay_domains.contains(local_domain) &&
      local.shards.size() >= kMinBatchSize) {
    batches.push_back(std::move(local));
  }
  const std::vector<std::string> domains(relay_domains.begin(),
                                         relay_domains.end());
  while (!remaining.empty()) {
    relay_batch best;
    for (std::size_t i = 0; i < domains.size(); ++i) {
      relay_batch batch = BatchForDomain(
          locations, remaining, domains[(i + rotation) % domains.size()]);
      if (batch.shards.size() > best.shards.size()) best = std::move(batch);
    }
    if (best.shards.size() < kMinBatchSize) break;
    Remove(remaining, best);
    batches.push_back(std::move(best));
  }
  return batches;
}

}  // namespace basilhoist
