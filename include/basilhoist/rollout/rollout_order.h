// An operator's order to move a service to another version of its servers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// How far an order has come, as the store has it.
enum class rollout_state : std::uint8_t {
  kNone,  ///< Nothing has been written yet.
  kRunning,
  kCompleted,
  kRolledBack,
};

/// Returns the short name used in logs and dumps.
std::string_view Name(rollout_state value);

/// One order and its status.
struct rollout_order {
  std::string service;
  std::string target_version;
  /// Time after the order within which it must have ended.
  milliseconds duration{0};
  std::uint64_t revision = 0;  ///< Of the object in the store.
  rollout_state state = rollout_state::kNone;
  std::string state_version;  ///< The version that the state is about.

  auto operator<=>(const rollout_order&) const = default;

  /// @return the state, unless it is about an earlier order's version
  [[nodiscard]] rollout_state StateOfTarget() const {
    return state_version == target_version ? state : rollout_state::kNone;
  }
  [[nodiscard]] bool Ended() const {
    const rollout_state own = StateOfTarget();
    return own == rollout_state::kCompleted ||
           own == rollout_state::kRolledBack;
  }
  /// @return a hash of service and version, the same on all instances
  [[nodiscard]] std::uint64_t Id() const;
};

}  // namespace basilhoist
