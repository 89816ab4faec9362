// Keeps an instance that starts from serving what its peers know to be
// outdated.
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Decides when an instance that has just started may serve. What the store
/// lists may be an older copy, which only peers can correct. The wait is
/// bounded, so that an instance without live peers serves too.
class start_catch_up {
 public:
  /// Longest wait for a datagram of any known peer. Peers send twice a second,
  /// and answer the first datagram of an instance at once.
  static constexpr milliseconds kMaxSilence{2000};
  /// Longest wait for the snapshots of peers that know more, from the first
  /// such peer on. Covers two attempts to fetch one, which take 1 s each at
  /// most with the gossip before, and the delay after which peers retry a call
  /// to a store that has been away.
  static constexpr milliseconds kMaxWait{3000};

  void Start(instant now) { started_at_ = now; }

  /// Called when a peer knows more of a kind of objects, or still has to learn
  /// that the store came back from an older copy.
  void OnBehind(const std::string& kind, instant now);

  /// Called when a snapshot of a kind has been received from a peer.
  void OnFetched(const std::string& kind);

  /// @param knows_peers whether addresses of peers are known
  /// @param heard_peer whether a peer has sent a datagram
  [[nodiscard]] bool Done(bool knows_peers, bool heard_peer, instant now) const;

  /// @return the number of kinds that a peer is still to supply
  [[nodiscard]] std::size_t KindsBehind() const { return behind_.size(); }

 private:
  instant started_at_;
  instant behind_since_;          // the origin: never behind
  std::set<std::string> behind_;  // kinds
  std::set<std::string> fetched_;
};

}  // namespace basilhoist
