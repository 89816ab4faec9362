// What is known of one kind of objects, and what to ask the store for next.
#pragma once

#include <string>

#include "basilhoist/knowledge/removal_log.h"
#include "basilhoist/store/object_store.h"

namespace basilhoist {

/// A snapshot that a peer has, with what it saw removed.
struct peer_snapshot {
  object_snapshot snapshot;
  std::vector<removed_object> removed;

  bool operator==(const peer_snapshot&) const = default;
};

/// What a feed does next.
struct feed_step {
  enum class action : std::uint8_t { kList, kWatch };
  action what = action::kList;
  std::string after;           ///< kList: name after which the page starts.
  bool may_be_stale = false;   ///< kList: a cheap answer will do.
  std::uint64_t revision = 0;  ///< kWatch: where it continues.
  milliseconds delay{0};       ///< Wait this long first.

  bool operator==(const feed_step&) const = default;
};

/// Lists a kind in pages, then follows its changes. Never goes back to a
/// lower revision.
class feed_state {
 public:
  /// Delay after the first failure; it doubles up to the longest one. Each
  /// call counts, also one that the store refuses.
  static constexpr milliseconds kMinRetryDelay{100};
  static constexpr milliseconds kMaxRetryDelay{800};
  /// Gathers changes that come in quick succession into one call. The delay
  /// doubles up to the longest one while they go on, as when all servers of a
  /// site register; changes must be in force within three seconds.
  static constexpr milliseconds kMinBatchDelay{300};
  static constexpr milliseconds kMaxBatchDelay{900};
  /// Two answers of a store that answers all the while are not further apart:
  /// the longest gathering and a slow answer.
  static constexpr milliseconds kMaxAnswerInterval = 2 * kMaxBatchDelay;

  [[nodiscard]] feed_step Next() const;

  /// A page arrived, or a listing failed.
  /// @return whether the snapshot changed
  bool OnPage(call_outcome outcome, const object_page& page, instant now);

  /// A watch ended.
  /// @return whether the snapshot changed
  bool OnEvents(call_outcome outcome, const object_events& events, instant now);

  /// Takes a snapshot of a peer if it is newer.
  /// @return whether the snapshot changed
  bool AdoptIfNewer(const peer_snapshot& offered, instant now);

  /// Asks the store no more, as long as peers tell of changes. A watch can
  /// follow the snapshot later.
  void Pause();

  /// Lists again, since a peer knows more.
  void Relist();

  [[nodiscard]] const object_snapshot& Snapshot() const { return snapshot_; }

  /// @return objects that the last watch removed, as they were last; a change
  ///   just before the end may be in no snapshot
  [[nodiscard]] const object_snapshot& Removed() const { return removed_; }

  /// @return since when the objects removed last may have been gone
  [[nodiscard]] instant RemovedSince() const { return removed_since_; }

  /// @return what was removed of earlier snapshots
  [[nodiscard]] const removal_log& Removals() const { return removals_; }

  /// @return whether a snapshot was ever taken
  [[nodiscard]] bool HasSnapshot() const { return has_snapshot_; }

  /// @return whether a listing is under way
  [[nodiscard]] bool Listing() const { return listing_; }

  /// @return whether the store answered the last call
  [[nodiscard]] bool Healthy() const { return failures_ == 0; }

  /// @return when a call last failed; the origin of time if none did
  [[nodiscard]] instant LastFailure() const { return last_failure_; }

 private:
  void OnFailure(instant now);
  void Take(const object_event& event);
  void MarkCurrent(instant now);
  void UpdateBatchDelay(instant now);
  bool Commit(object_snapshot taken);
  void LogRemovals(const object_snapshot& taken);

  object_snapshot snapshot_;
  object_snapshot removed_;
  instant removed_since_;
  removal_log removals_;
  bool has_snapshot_ = false;
  bool listing_ = true;
  /// Delay before the next watch; none after one without changes.
  milliseconds batch_delay_{0};
  instant last_change_;
  // Pages so far of a listing that is not over.
  object_snapshot pages_;
  std::string after_;
  unsigned failures_ = 0;
  instant last_failure_;
  // When an answer of the store last brought the snapshot up to date.
  instant last_current_at_;
};

}  // namespace basilhoist
