// Keeps a snapshot of one kind of objects up to date from the store and peers.
#pragma once

#include <functional>
#include <string>

#include "basilhoist/knowledge/feed_state.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// Makes the calls to the store that a feed_state determines.
class object_feed {
 public:
  /// @param kind the kind of objects to follow
  /// @param on_change called after each change of the snapshot
  object_feed(event_loop& loop, object_store& store, std::string kind,
              std::function<void(const object_feed&)> on_change,
              restore_policy policy = {});

  /// Starts the first listing, for which a stale answer is acceptable.
  void Start() { ScheduleNextCall(); }

  /// Sets whether this instance follows the store. If it does not, calls end as
  /// soon as there is a snapshot.
  void SetFollowsStore(bool follows_store);

  /// Sets the place of this instance among the readers, for the next watches.
  void SetPlace(const reader_place& place) { state_.SetPlace(place); }

  /// Replaces the snapshot by a peer's if that is newer.
  void AdoptIfNewer(const peer_snapshot& received);

  /// Starts a new listing at once, because a peer has a newer snapshot although
  /// the store answers this instance.
  void Relist();

  /// Starts a new listing because the store has come back in another era,
  /// unless the snapshot is of that era already.
  void OnStoreEra(std::uint64_t era);

  /// Ends what is believed since the store came back, if it is time.
  void ExpireBeliefs();

  [[nodiscard]] const std::string& Kind() const { return kind_; }
  [[nodiscard]] const feed_state& State() const { return state_; }
  /// @return the digest of the current snapshot
  [[nodiscard]] std::uint64_t Digest() const { return digest_; }
  [[nodiscard]] bool FollowsStore() const { return follows_store_; }

 private:
  void ScheduleNextCall();
  void StartCall(const feed_step& step);
  void RestartCall();
  void OnResult(bool was_healthy, bool changed, call_outcome outcome);
  void NotifyChange();

  event_loop& loop_;
  object_store& store_;
  std::string kind_;
  std::function<void(const object_feed&)> on_change_;
  feed_state state_;
  std::uint64_t digest_ = 0;
  bool follows_store_ = false;
  std::uint64_t call_ = 0;
  timer_id timer_ = 0;
};

}  // namespace basilhoist
