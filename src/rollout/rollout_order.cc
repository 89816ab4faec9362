#include "basilhoist/rollout/rollout_order.h"

#include <xxhash.h>

namespace basilhoist {

std::string_view Name(rollout_state value) {
  switch (value) {
    case rollout_state::kNone:
      return "none";
    case rollout_state::kRunning:
      return "running";
    case rollout_state::kCompleted:
      return "completed";
    case rollout_state::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

std::uint64_t rollout_order::Id() const {
  const std::uint64_t seed = XXH64(service.data(), service.size(), 0);
  return XXH64(target_version.data(), target_version.size(), seed);
}

}  // namespace basilhoist
