// The state of following one kind of objects in the store: the latest snapshot
// and the next call to make.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "basilhoist/knowledge/removal_log.h"
#include "basilhoist/knowledge/restore_beliefs.h"
#include "basilhoist/store/object_store.h"

namespace basilhoist {

/// A snapshot received from a peer, with the removals that led to it.
struct peer_snapshot {
  object_snapshot snapshot;
  std::vector<removed_object> removed;
  /// What the peer believes to have ended since the store came back from an
  /// older copy, and for how long it does.
  std::vector<object> ended;
  /// Objects in the snapshot that the store does not list.
  std::set<std::string> kept;
  milliseconds beliefs_left{0};
  /// If only changes were sent: names of the objects that changed.
  std::optional<std::set<std::string>> changed;

  bool operator==(const peer_snapshot&) const = default;
};

/// Place of an instance among all instances that follow the store.
struct reader_place {
  std::size_t readers = 1;  ///< At least one, this instance.
  std::size_t rank = 0;     ///< From 0.

  auto operator<=>(const reader_place&) const = default;
};

/// The next call of a feed.
struct feed_step {
  enum class action : std::uint8_t { kList, kWatch };
  action what = action::kList;
  std::string after;           ///< kList: the page starts after this name.
  bool may_be_stale = false;   ///< kList: a stale page is acceptable.
  std::uint64_t revision = 0;  ///< kWatch: report changes after this one.
  milliseconds wait{0};        ///< kWatch: how long to wait for a change.
  milliseconds delay{0};       ///< Time to wait before the call.

  bool operator==(const feed_step&) const = default;
};

/// Lists all objects of a kind in pages, then watches for changes. It does no
/// I/O: the caller makes the calls and reports their results. The snapshot
/// never returns to a lower position. After the store came back from an older
/// copy, what it says is corrected by what was known before.
class feed_state {
 public:
  explicit feed_state(restore_policy policy = {})
      : beliefs_(std::move(policy)) {}

  /// Delay after the first failed call; it doubles with each further failure up
  /// to the maximum. Each call costs the store, even one that it refuses.
  static constexpr milliseconds kMinRetryDelay{100};
  static constexpr milliseconds kMaxRetryDelay{800};
  /// Delay before the next watch after changes, so that one call reports
  /// changes that occur in quick succession. It doubles up to the maximum while
  /// changes continue, as when all servers of a site register. The maximum
  /// leaves time for a change to take effect within 3 s, as is required.
  static constexpr milliseconds kMinBatchDelay{300};
  static constexpr milliseconds kMaxBatchDelay{900};
  /// Maximum time between two successive answers of a store that is available
  /// throughout: the longest batch delay and a slow answer.
  static constexpr milliseconds kMaxAnswerInterval = 2 * kMaxBatchDelay;

  /// Time between two watches that start, of all readers together. A watch that
  /// started while the store was silent gets no events afterwards and looks
  /// like one without changes; the next one to start gets them at once, and
  /// other readers learn from peers that theirs have stalled.
  static constexpr milliseconds kWatchSpacing{1000};
  /// Limit of a watch's wait. Platforms end a watch after 30 s.
  static constexpr milliseconds kMaxWatchWait{25000};

  /// @return the next call to make
  [[nodiscard]] feed_step Next() const;

  /// Sets the place that determines when this instance's watches end.
  void SetPlace(const reader_place& place) { place_ = place; }

  /// Handles the result of a listing call: a page, or a failure.
  /// @return whether the snapshot changed
  bool OnPage(call_outcome outcome, const object_page& page, instant now);

  /// Handles the result of a watch.
  /// @return whether the snapshot changed
  bool OnEvents(call_outcome outcome, const object_events& events, instant now);

  /// Replaces the snapshot by a peer's if that is newer.
  /// @return whether the snapshot changed
  bool AdoptIfNewer(const peer_snapshot& received, instant now);

  /// Ends what is believed since the store came back, if it is time.
  /// @return whether the snapshot changed
  bool ExpireBeliefs(instant now) {
    return beliefs_.Expire(snapshot_.objects, now);
  }

  /// @return what is believed since the store came back from an older copy
  [[nodiscard]] const restore_beliefs& Beliefs() const { return beliefs_; }

  /// Stops calls to the store while peers report the changes. A later watch
  /// continues from the snapshot.
  void Pause();

  /// Starts a new listing, because the watch is behind a peer or cannot
  /// continue.
  void Relist();

  [[nodiscard]] const object_snapshot& Snapshot() const { return snapshot_; }

  /// @return objects removed by the last watch or peer snapshot, with their
  ///   final content; a change just before the removal may be in no snapshot
  [[nodiscard]] const object_snapshot& Removed() const { return removed_; }

  /// @return the earliest time at which the objects in Removed() can have been
  ///   removed
  [[nodiscard]] instant RemovedSince() const { return removed_since_; }

  /// @return recent removals, for peers whose snapshots are older
  [[nodiscard]] const removal_log& Removals() const { return removals_; }

  /// @return whether there is a snapshot
  [[nodiscard]] bool HasSnapshot() const { return has_snapshot_; }

  /// @return when the store last confirmed or changed the snapshot here; the
  ///   origin if it never did, as at instances that follow peers
  [[nodiscard]] instant LastConfirmed() const { return last_current_at_; }

  /// @return when a newer snapshot of a peer was last adopted; the origin if
  ///   none was
  [[nodiscard]] instant LastAdopted() const { return last_adopted_at_; }

  /// @return whether a listing is in progress
  [[nodiscard]] bool Listing() const { return listing_; }

  /// @return whether the last call to the store succeeded
  [[nodiscard]] bool Healthy() const { return failures_ == 0; }

  /// @return the time of the last failed call; the epoch if none failed
  [[nodiscard]] instant LastFailure() const { return last_failure_; }

 private:
  [[nodiscard]] milliseconds WatchWait() const;
  void OnFailure(instant now);
  void ApplyEvent(const object_event& event);
  void MarkCurrent(instant now);
  void UpdateBatchDelay(instant now);
  bool JoinBeliefs(const peer_snapshot& received, instant now);
  /// @param peer what the peer believes, if the snapshot is from one
  bool Commit(object_snapshot next, instant now,
              const peer_snapshot& peer = {});
  void LogRemovals(const object_snapshot& next);

  restore_beliefs beliefs_;
  object_snapshot snapshot_;
  object_snapshot removed_;
  instant removed_since_;
  removal_log removals_;
  bool has_snapshot_ = false;
  bool listing_ = true;
  // Delay before the next watch; 0 after a watch without changes.
  milliseconds batch_delay_{0};
  instant last_change_;
  // The pages received so far of a listing in progress.
  object_snapshot pages_;
  std::string after_;
  unsigned failures_ = 0;
  instant last_failure_;
  reader_place place_;
  // The last watch ended without changes.
  bool quiet_ = false;
  // The last listing was older than the snapshot.
  bool listing_refused_ = false;
  // When an answer of the store last brought the snapshot up to date.
  instant last_current_at_;
  instant last_adopted_at_;
};

}  // namespace basilhoist
