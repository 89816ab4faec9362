// Objects that were removed lately, for peers that lag behind.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/store/object.h"

namespace basilhoist {

/// An object that is gone.
struct removed_object {
  object last;                 ///< As it was last seen.
  std::uint64_t revision = 0;  ///< It was gone at this one.
  instant since;               ///< It may have been gone since then.

  bool operator==(const removed_object&) const = default;
};

/// Keeps a bounded number of removals, in the order of their revisions.
class removal_log {
 public:
  /// Some times the servers of a large site that end at once.
  static constexpr std::size_t kMost = 2048;

  /// Nothing is known of removals up to a revision.
  void BeginAt(std::uint64_t revision);

  void Add(removed_object removed);

  /// An object of this name exists again.
  void Erase(const std::string& name);

  /// @return whether all removals after a revision are here
  [[nodiscard]] bool CoversSince(std::uint64_t revision) const {
    return revision >= complete_from_;
  }

  /// @return removals after a revision
  [[nodiscard]] std::vector<removed_object> Since(std::uint64_t revision) const;

 private:
  std::deque<removed_object> removed_;
  std::uint64_t complete_from_ = 0;
};

}  // namespace basilhoist
