#include "basilhoist/relay/relay_plan.h"

#include <map>

namespace basilhoist {
namespace {

// A batch costs a frame each way and saves all but one of its replies.
constexpr std::size_t kLeastBatch = 3;

}  // namespace

std::vector<relay_batch> PlanRelays(const std::vector<shard_place>& places,
                                    const std::string& own,
                                    const std::set<std::string>& relays,
                                    std::size_t turn) {
  std::set<std::size_t> left;
  for (std::size_t i = 0; i < places.size(); ++i) {
    if (!places[i].failure_domains.contains(own)) left.insert(i);
  }
  std::vector<std::string> domains(relays.begin(), relays.end());
  std::vector<relay_batch> batches;
  while (!left.empty()) {
    relay_batch best;
    for (std::size_t i = 0; i < domains.size(); ++i) {
      const std::string& domain = domains[(i + turn) % domains.size()];
      relay_batch batch{.failure_domain = domain};
      for (const std::size_t shard : left) {
        if (places[shard].failure_domains.contains(domain)) {
          batch.shards.push_back(shard);
        }
      }
      if (batch.shards.size() > best.shards.size()) best = std::move(batch);
    }
    if (best.shards.size() < kLeastBatch) break;
    for (const std::size_t shard : best.shards) left.erase(shard);
    batches.push_back(std::move(best));
  }
  return batches;
}

}  // namespace basilhoist
