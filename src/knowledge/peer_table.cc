#include "basilhoist/knowledge/peer_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

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

std::uint32_t peer_table::Strongest() const {
  std::uint32_t strongest = processor_permille_;
  for (const auto& [where, each] : peers_) {
    if (each.heard) strongest = std::max(strongest, each.processor_permille());
  }
  return strongest;
}

double peer_table::Part() const {
  const std::uint32_t unheard = Strongest();
  double all = processor_permille_;
  for (const auto& [where, each] : peers_) {
    all += each.heard ? each.processor_permille() : unheard;
  }
  return processor_permille_ / all;
}

// With equal weights this is the order of the hashes themselves.
std::size_t peer_table::RankFor(std::uint64_t key) const {
  const auto score = [key](const endpoint& where, std::uint32_t weight) {
    const std::string text = Format(where);
    const auto hash = static_cast<double>(XXH64(text.data(), text.size(), key));
    constexpr double kHashes = 18446744073709551616.0;  // 2^64
    return -static_cast<double>(weight) / std::log((hash + 0.5) / kHashes);
  };
  const double own = score(self_, processor_permille_);
  const std::uint32_t unheard = Strongest();
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& [where, each] = entry;
        return score(where, each.heard ? each.processor_permille() : unheard) >
               own;
      }));
}

}  // namespace basilhoist
