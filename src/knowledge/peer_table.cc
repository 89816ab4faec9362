#include "basilhoist/knowledge/peer_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace basilhoist {

std::uint64_t OrderOf(const endpoint& address) {
  const std::string text = Format(address);
  return XXH64(text.data(), text.size(), 0);
}

void peer_table::told_total::Offer(std::uint64_t told, instant now) {
  if (told < At(now)) return;
  value = told;
  at = now;
}

std::uint64_t peer_table::told_total::At(instant now) const {
  return at > instant() && now - at < kForgetAfter ? value : 0;
}

void peer_table::Know(const endpoint& where, instant now) {
  if (where.port == 0 || where == self_) return;
  const auto [entry, added] = peers_.try_emplace(where);
  if (!added) return;
  entry->second.address = where;
  entry->second.order = OrderOf(where);
  entry->second.known_since = now;
}

peer_table::taken peer_table::Take(const peer_state& state, instant now) {
  const endpoint from = ParseEndpoint(state.address);
  if (from.port == 0 || from == self_) return taken::kIgnored;
  Know(from, now);
  for (const told_domain& each : state.told) TakeTold(each, now);
  told_instances_.Offer(state.known_instances, now);
  told_permille_.Offer(state.known_permille, now);
  known_peer& known = peers_.at(from);
  const taken result = known.Heard() ? taken::kAgain : taken::kFirst;
  // The word of the peer itself stands against what others told, also where
  // its beat starts lower after a restart.
  if (known.incarnation == state.incarnation && known.Heard() &&
      state.beat < known.beat) {
    return taken::kLate;
  }
  known.failure_domain = state.failure_domain;
  known.processor_permille = std::max(1U, state.processor_permille);
  known.serving = state.serving;
  known.reads_store = state.reads_store && state.store_answers;
  known.tries_store = state.reads_store;
  known.incarnation = state.incarnation;
  known.beat = state.beat;
  known.alive_at = now;
  known.heard_at = now;
  return result;
}

// Only a beat that has grown shows that the instance lives: what others have
// kept, or a network has delayed, renews nothing.
void peer_table::TakeTold(const told_domain& domain, instant now) {
  for (const told_instance& each : domain.instances) {
    const endpoint where = EndpointOf(each.address, each.port);
    if (where == self_) {
      own_beat_told_ = std::max(own_beat_told_, each.beat);
      continue;
    }
    Know(where, now);
    const auto found = peers_.find(where);
    if (found == peers_.end()) continue;  // no address
    known_peer& known = found->second;
    if (each.beat <= known.beat) continue;
    known.failure_domain = domain.failure_domain;
    known.processor_permille =
        std::max<std::uint32_t>(1, each.processor_permille);
    known.serving = each.serving;
    known.reads_store = each.reads_store;
    known.beat = each.beat;
    // Or one that ended long ago would live anew with whoever hears of it for
    // the first time.
    known.alive_at =
        std::max(known.alive_at, now - milliseconds(each.quiet_ms));
  }
}

std::vector<endpoint> peer_table::Forget(instant now, microseconds usual) {
  const microseconds after =
      std::max<microseconds>(kForgetAfter, usual * kForgetBeats);
  std::vector<endpoint> gone;
  for (const auto& [where, each] : peers_) {
    const instant last = each.Told() ? each.alive_at : each.known_since;
    if (now - last >= after) gone.push_back(where);
  }
  for (const endpoint& each : gone) peers_.erase(each);
  return gone;
}

std::vector<known_peer> peer_table::AliveLately(instant now,
                                                microseconds usual) const {
  const microseconds within =
      std::max<microseconds>(kAliveWithin, usual * kMissedBeats);
  std::vector<known_peer> alive;
  for (const auto& [where, each] : peers_) {
    if (each.Told() && now - each.alive_at < within) alive.push_back(each);
  }
  return alive;
}

std::uint32_t peer_table::Strongest() const {
  std::uint32_t strongest = processor_permille_;
  for (const auto& [where, each] : peers_) {
    strongest = std::max(strongest, each.processor_permille);
  }
  return strongest;
}

std::uint64_t peer_table::KnownPermille() const {
  const std::uint32_t untold = Strongest();
  std::uint64_t all = processor_permille_;
  for (const auto& [where, each] : peers_) {
    all += each.Told() ? each.processor_permille : untold;
  }
  return all;
}

// An instance that has just started knows few others for a while, and must not
// take their parts.
double peer_table::Part(instant now) const {
  const auto all = std::max(KnownPermille(), told_permille_.At(now));
  return processor_permille_ / static_cast<double>(all);
}

// With equal weights this is the order of the hashes themselves.
std::size_t peer_table::RankFor(std::uint64_t key, instant now) const {
  const auto told = static_cast<double>(told_instances_.At(now));
  if (static_cast<double>(InstanceCount()) < kCompleteShare * told) {
    return static_cast<std::size_t>(told);
  }
  const auto score = [key](const endpoint& where, std::uint32_t weight) {
    const std::string text = Format(where);
    const auto hash = static_cast<double>(XXH64(text.data(), text.size(), key));
    constexpr double kHashes = 18446744073709551616.0;  // 2^64
    return -static_cast<double>(weight) / std::log((hash + 0.5) / kHashes);
  };
  const double own = score(self_, processor_permille_);
  const std::uint32_t untold = Strongest();
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& [where, each] = entry;
        return score(where, each.Told() ? each.processor_permille : untold) >
               own;
      }));
}

}  // namespace basilhoist
