// The instances that hold workspaces to their usage limits together.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "basilhoist/knowledge/peer_table.h"

namespace basilhoist {

/// An instance that may keep the counts of workspaces.
struct usage_member {
  endpoint address;
  std::uint32_t processor_permille = 0;

  auto operator<=>(const usage_member&) const = default;
};

/// The instances that are alive, as one of them sees them.
struct usage_members {
  std::vector<usage_member> members;  ///< By address; includes this instance.
  /// This instance has known nearly all instances since it started, and more
  /// than half of those that it has heard of in the last 30 s are alive.
  /// Otherwise it may be cut off together with a minority.
  bool complete = false;
  /// This instance's share of the limits while it reaches no keepers, 0 to 1.
  double share = 0;

  bool operator==(const usage_members&) const = default;
};

/// Number of keepers of each workspace.
inline constexpr std::size_t kUsageKeepers = 3;

/// Derives the members from the peer table.
class usage_membership {
 public:
  explicit usage_membership(usage_member self) : self_(std::move(self)) {}

  /// @param alive the peers that are presumed alive
  usage_members Update(const peer_table& peers,
                       const std::vector<known_peer>& alive, instant now);

 private:
  usage_member self_;
  // Whether nearly all instances have been known since the start. Later, totals
  // that peers report include instances that have died.
  bool knew_most_ = false;
};

/// Chooses the instances that keep the counts of a workspace: the first ones
/// in an order by weighted rendezvous hashing.
/// @param key UsageKey of the workspace
std::vector<endpoint> ChooseUsageKeepers(
    std::uint64_t key, const std::vector<usage_member>& members);

/// @return how many of a workspace's keepers must answer
constexpr std::size_t UsageQuorum(std::size_t keepers) {
  return keepers / 2 + 1;
}

}  // namespace basilhoist
