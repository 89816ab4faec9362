#include "basilhoist/knowledge/reader_role.h"

#include <algorithm>
#include <tuple>

namespace basilhoist {
namespace {

// Returns a key that sorts instances by rank.
auto RankKey(std::uint32_t processor_permille, std::uint64_t order_hash) {
  return std::tuple(~processor_permille, order_hash);
}

}  // namespace

// The counts of different instances disagree while instances start and stop.
// An instance waits for idle ones that rank before it, but only for a time that
// grows with their number, because they may have terminated as well.
bool reader_role::ShouldTakeOver(const reader_counts& counts,
                                 microseconds missing_for) {
  if (missing_for < kTakeoverDelay) return false;
  // The store does not answer the instances that follow it already; more of
  // them would not help.
  if (counts.following >= kMaxFollowing) return false;
  if (counts.idle_before < kWantedReaders - counts.readers) return true;
  return missing_for >=
         kTakeoverDelay +
             std::min<milliseconds>(
                 kMaxAdditionalDelay,
                 kDelayPerInstance * static_cast<int>(counts.idle_before));
}

bool reader_role::Decide(const reader_counts& counts, instant now) {
  const bool surplus = counts.readers_before >= kWantedReaders ||
                       counts.following_before >= kMaxFollowing;
  const bool differs = is_reader_ ? surplus : counts.readers < kWantedReaders;
  if (!differs) {
    differs_since_ = {};
    return is_reader_;
  }
  if (differs_since_ == instant()) differs_since_ = now;
  const microseconds differs_for = now - differs_since_;
  if (is_reader_ ? differs_for >= kStopDelay
                 : ShouldTakeOver(counts, differs_for)) {
    is_reader_ = !is_reader_;
    differs_since_ = {};
  }
  return is_reader_;
}

reader_counts CountReaders(const peer_table& table,
                           const reader_candidate& self, instant now) {
  reader_counts counts;
  const auto own = RankKey(self.processor_permille, OrderHash(self.address));
  for (const auto& [address, peer] : table.Peers()) {
    if (peer.failure_domain != self.failure_domain) continue;
    const bool received = peer.ReceivedDirectly() &&
                          now - peer.received_at < reader_role::kReaderTimeout;
    const bool alive = now - peer.alive_at < peer_table::kAliveWithin;
    const bool before = RankKey(peer.processor_permille, peer.order_hash) < own;
    if (received && peer.follows_store) {
      ++counts.following;
      if (before) ++counts.following_before;
    }
    if (received && peer.is_reader) {
      ++counts.readers;
      if (before) ++counts.readers_before;
    } else if (alive && peer.SeenAlive() && before && !peer.follows_store) {
      ++counts.idle_before;
    }
  }
  return counts;
}

reader_place PlaceAmongReaders(const peer_table& table, const endpoint& self,
                               instant now) {
  reader_place place;
  const auto own = std::tuple(OrderHash(self), self);
  for (const auto& [address, peer] : table.Peers()) {
    if (!peer.is_reader || !peer.SeenAlive()) continue;
    if (now - peer.alive_at >= peer_table::kAliveWithin) continue;
    ++place.readers;
    if (std::tuple(peer.order_hash, address) < own) ++place.rank;
  }
  return place;
}

}  // namespace basilhoist
