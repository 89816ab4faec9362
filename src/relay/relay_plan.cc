#include "basilhoist/relay/relay_plan.h"

#include <map>

namespace basilhoist {
namespace {

// A batch costs a frame each way and saves all but one of its replies.
constexpr std::size_t kLeastBatch = 3;

relay_batch BatchOf(const std::vector<shard_place>& places,
                    const std::set<std::size_t>& left,
                    const std::string& domain) {
  relay_batch batch{.failure_domain = domain};
  for (const std::size_t shard : left) {
    if (places[shard].failure_domains.contains(domain)) {
      batch.shards.push_back(shard);
    }
  }
  return batch;
}

void Remove(std::set<std::size_t>& left, const relay_batch& batch) {
  for (const std::size_t shard : batch.shards) left.erase(shard);
}

}  // namespace

std::vector<relay_batch> PlanRelays(const std::vector<shard_place>& places,
                                    const std::string& own,
                                    const std::set<std::string>& relays,
                                    std::size_t turn) {
  std::set<std::size_t> left;
  for (std::size_t i = 0; i < places.size(); ++i) left.insert(i);
  std::vector<relay_batch> batches;
  relay_batch near = BatchOf(places, left, own);
  Remove(left, near);
  if (relays.contains(own) && near.shards.size() >= kLeastBatch) {
    batches.push_back(std::move(near));
  }
  const std::vector<std::string> domains(relays.begin(), relays.end());
  while (!left.empty()) {
    relay_batch best;
    for (std::size_t i = 0; i < domains.size(); ++i) {
      relay_batch batch =
          BatchOf(places, left, domains[(i + turn) % domains.size()]);
      if (batch.shards.size() > best.shards.size()) best = std::move(batch);
    }
    if (best.shards.size() < kLeastBatch) break;
    Remove(left, best);
    batches.push_back(std::move(best));
  }
  return batches;
}

}  // namespace basilhoist
