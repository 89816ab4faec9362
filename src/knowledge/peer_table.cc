#include "basilhoist/knowledge/peer_table.h"

#include <xxhash.h>

#include <algorithm>

namespace basilhoist {

void peer_table::Know(const endpoint& where, instant now) {
  if (where.port == 0 || where == self_) return;
  peers_.try_emplace(where, peer{.known_since = now});
}

peer_table::taken peer_table::Take(const peer_state& state, instant now) {
  const endpoint from = ParseEndpoint(state.address);
  if (from.port == 0 || from == self_) return taken::kIgnored;
  Know(from, now);
  peer& known = peers_.at(from);
  const taken result = known.heard ? taken::kAgain : taken::kFirst;
  known.heard = true;
  known.heard_at = now;
  known.state = state;
  for (const std::string& each : state.peers) Know(ParseEndpoint(each), now);
  return result;
}

// A peer that left for good is told on by others for a while, so its entry is
// kept until nobody has heard it.
std::vector<endpoint> peer_table::Forget(instant now, microseconds usual) {
  const microseconds after =
      std::max<microseconds>(kForgetAfter, usual * kForgetStates);
  std::vector<endpoint> gone;
  for (const auto& [where, each] : peers_) {
    const instant last = each.heard ? each.heard_at : each.known_since;
    if (now - last >= after) gone.push_back(where);
  }
  for (const endpoint& each : gone) peers_.erase(each);
  return gone;
}

std::vector<endpoint> peer_table::Addresses() const {
  std::vector<endpoint> all;
  all.reserve(peers_.size());
  for (const auto& [where, each] : peers_) all.push_back(where);
  return all;
}

std::vector<endpoint> peer_table::Heard() const {
  std::vector<endpoint> heard;
  for (const auto& [where, each] : peers_) {
    if (each.heard) heard.push_back(where);
  }
  return heard;
}

std::vector<peer_state> peer_table::HeardLately(instant now,
                                                microseconds usual) const {
  const microseconds within =
      std::max<microseconds>(kHeardWithin, usual * kMissedStates);
  std::vector<peer_state> states;
  for (const auto& [where, each] : peers_) {
    if (each.heard && now - each.heard_at < within) {
      states.push_back(each.state);
    }
  }
  return states;
}

std::size_t peer_table::RankFor(std::uint64_t key) const {
  const auto weight = [key](const endpoint& where) {
    const std::string text = Format(where);
    return XXH64(text.data(), text.size(), key);
  };
  const std::uint64_t own = weight(self_);
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [&](const auto& entry) { return weight(entry.first) > own; }));
}

}  // namespace basilhoist
