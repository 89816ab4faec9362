// Log of recently removed objects, for peers that hold an older revision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/store/object.h"

namespace basilhoist {

/// An object that was removed from the store.
struct removed_object {
  object last;                 ///< Its last known state.
  std::uint64_t revision = 0;  ///< First revision known to be without it.
  instant earliest_removal;    ///< It may have been removed from then on.

  bool operator==(const removed_object&) const = default;
};

/// Stores a bounded number of removals, ordered by revision.
class removal_log {
 public:
  /// Several times the number of servers of a large site that stop at once.
  static constexpr std::size_t kMaxRemovals = 2048;

  /// Clears the log. Removals up to this revision are unknown.
  void ResetTo(std::uint64_t revision);

  /// Keeps the removals, but others up to this revision may be unknown.
  void SetCompleteFrom(std::uint64_t revision) { complete_from_ = revision; }

  /// Adds a removal; drops the oldest one when the log is full.
  void Add(removed_object removed);

  /// Deletes the removal of an object that exists again.
  void Erase(const std::string& name);

  /// @return whether the log holds all removals after a revision
  [[nodiscard]] bool CoversSince(std::uint64_t revision) const {
    return revision >= complete_from_;
  }

  /// @return removals after a revision
  [[nodiscard]] std::vector<removed_object> Since(std::uint64_t revision) const;

 private:
  std::deque<removed_object> removed_;
  // The log holds all removals after this revision.
  std::uint64_t complete_from_ = 0;
};

}  // namespace basilhoist
