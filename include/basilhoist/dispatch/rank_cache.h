// Caches the ranks of this instance in the orders of instances for servers.
#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Keeps each rank for a short time, since computing one takes time that grows
/// with the number of instances and ranks are needed at each send.
class rank_cache {
 public:
  static constexpr milliseconds kLifetime{500};

  /// @param compute called with the key if its rank is not cached
  [[nodiscard]] std::size_t Rank(
      std::uint64_t key, instant now,
      const std::function<std::size_t(std::uint64_t)>& compute) const;

  void Forget(std::uint64_t key) { ranks_.erase(key); }

 private:
  struct cached_rank {
    std::size_t rank = 0;
    instant until;
  };

  mutable std::unordered_map<std::uint64_t, cached_rank> ranks_;  // by key
};

}  // namespace basilhoist
