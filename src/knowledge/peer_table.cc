#include "basilhoist/knowledge/peer_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace basilhoist {

std::uint64_t OrderHash(const endpoint& address) {
  const std::string text = Format(address);
  return XXH64(text.data(), text.size(), 0);
}

void peer_table::recent_maximum::Update(std::uint64_t reported, instant now) {
  if (reported < At(now)) return;
  value = reported;
  at = now;
}

std::uint64_t peer_table::recent_maximum::At(instant now) const {
  return at > instant() && now - at < kExpireAfter ? value : 0;
}

void peer_table::AddAddress(const endpoint& address, instant now) {
  if (address.port == 0 || address == self_) return;
  const auto [entry, added] = peers_.try_emplace(address);
  if (!added) return;
  entry->second.address = address;
  entry->second.order_hash = OrderHash(address);
  entry->second.known_since = now;
}

peer_table::receive_result peer_table::Receive(const peer_state& state,
                                               instant now) {
  const endpoint from = ParseEndpoint(state.address);
  if (from.port == 0 || from == self_) return receive_result::kIgnored;
  AddAddress(from, now);
  for (const told_domain& domain : state.told) ReceiveReports(domain, now);
  reported_instances_.Update(state.known_instances, now);
  reported_permille_.Update(state.known_permille, now);
  known_peer& known = peers_.at(from);
  const receive_result result = known.ReceivedDirectly()
                                    ? receive_result::kKnown
                                    : receive_result::kFirst;
  // The peer's own datagram overrides indirect reports, even if its heartbeat
  // counter starts lower after a restart.
  if (known.incarnation == state.incarnation && known.ReceivedDirectly() &&
      state.beat < known.beat) {
    return receive_result::kStale;
  }
  known.failure_domain = state.failure_domain;
  known.processor_permille = std::max(1U, state.processor_permille);
  known.serving = state.serving;
  known.is_reader = state.reads_store && state.store_answers;
  known.follows_store = state.reads_store;
  known.incarnation = state.incarnation;
  known.beat = state.beat;
  known.alive_at = now;
  known.received_at = now;
  return result;
}

// Only a heartbeat counter that has grown shows that a peer is alive. A record
// that others still hold, or a delayed datagram, does not renew it.
void peer_table::ReceiveReports(const told_domain& domain, instant now) {
  for (const told_instance& report : domain.instances) {
    const endpoint address = EndpointOf(report.address, report.port);
    if (address == self_) {
      reported_own_beat_ = std::max(reported_own_beat_, report.beat);
      continue;
    }
    AddAddress(address, now);
    const auto found = peers_.find(address);
    if (found == peers_.end()) continue;  // the reported address is invalid
    known_peer& known = found->second;
    if (report.beat <= known.beat) continue;
    known.failure_domain = domain.failure_domain;
    known.processor_permille =
        std::max<std::uint32_t>(1, report.processor_permille);
    known.serving = report.serving;
    known.is_reader = report.reads_store;
    known.beat = report.beat;
    // Subtracting the age keeps a peer that terminated long ago from counting
    // as alive at an instance that receives the first report of it.
    known.alive_at =
        std::max(known.alive_at, now - milliseconds(report.quiet_ms));
  }
}

std::vector<endpoint> peer_table::RemoveExpired(
    instant now, microseconds expected_interval) {
  const microseconds expiry = std::max<microseconds>(
      kExpireAfter, expected_interval * kExpireIntervals);
  std::vector<endpoint> expired;
  for (const auto& [address, peer] : peers_) {
    const instant last = peer.SeenAlive() ? peer.alive_at : peer.known_since;
    if (now - last >= expiry) expired.push_back(address);
  }
  for (const endpoint& address : expired) peers_.erase(address);
  return expired;
}

std::vector<known_peer> peer_table::AlivePeers(
    instant now, microseconds expected_interval) const {
  const microseconds within =
      std::max<microseconds>(kAliveWithin, expected_interval * kAliveIntervals);
  std::vector<known_peer> alive;
  for (const auto& [address, peer] : peers_) {
    if (peer.SeenAlive() && now - peer.alive_at < within) alive.push_back(peer);
  }
  return alive;
}

std::uint32_t peer_table::MaxProcessorPermille() const {
  std::uint32_t maximum = processor_permille_;
  for (const auto& [address, peer] : peers_) {
    maximum = std::max(maximum, peer.processor_permille);
  }
  return maximum;
}

std::uint64_t peer_table::KnownProcessorPermille() const {
  const std::uint32_t default_permille = MaxProcessorPermille();
  std::uint64_t total = processor_permille_;
  for (const auto& [address, peer] : peers_) {
    total += peer.SeenAlive() ? peer.processor_permille : default_permille;
  }
  return total;
}

// An instance that has just started knows only a few peers. The reported total
// keeps it from claiming the shares of the others.
double peer_table::Share(instant now) const {
  const auto total =
      std::max(KnownProcessorPermille(), reported_permille_.At(now));
  return processor_permille_ / static_cast<double>(total);
}

bool peer_table::KnowsMost(instant now) const {
  const auto reported = static_cast<double>(reported_instances_.At(now));
  return static_cast<double>(InstanceCount()) >= kMinKnownShare * reported;
}

// With equal weights this is the order of the hashes.
std::size_t peer_table::RankFor(std::uint64_t key, instant now,
                                const std::string& preferred_domain,
                                bool self_preferred) const {
  if (!KnowsMost(now)) {
    return static_cast<std::size_t>(reported_instances_.At(now));
  }
  const auto score = [key](const endpoint& address, std::uint32_t weight) {
    const std::string text = Format(address);
    const auto hash = static_cast<double>(XXH64(text.data(), text.size(), key));
    constexpr double kHashes = 18446744073709551616.0;  // 2^64
    return -static_cast<double>(weight) / std::log((hash + 0.5) / kHashes);
  };
  const double own_score = score(self_, processor_permille_);
  const std::uint32_t default_permille = MaxProcessorPermille();
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const auto& [address, peer] = entry;
        if (!preferred_domain.empty()) {
          const bool preferred = peer.failure_domain.empty() ||
                                 peer.failure_domain == preferred_domain;
          if (preferred != self_preferred) return preferred;
        }
        return score(address, peer.SeenAlive() ? peer.processor_permille
                                               : default_permille) > own_score;
      }));
}

}  // namespace basilhoist
