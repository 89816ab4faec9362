#include "basilhoist/dispatch/rank_cache.h"

namespace basilhoist {

std::size_t rank_cache::Rank(
    std::uint64_t key, instant now,
    const std::function<std::size_t(std::uint64_t)>& compute) const {
  cached_rank& cached = ranks_[key];
  if (now >= cached.until) {
    cached = {.rank = compute(key), .until = now + kLifetime};
  }
  return cached.rank;
}

}  // namespace basilhoist
