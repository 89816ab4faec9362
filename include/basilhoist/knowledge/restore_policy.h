// What to believe of objects after the store came back from an older copy.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "basilhoist/store/object.h"

namespace basilhoist {

/// Position of an object's state among the states of the same object, as its
/// writer counts them. Unlike revisions, it does not go back with the store.
struct object_rank {
  std::uint64_t major = 0;
  std::uint64_t minor = 0;

  auto operator<=>(const object_rank&) const = default;
};

/// How the objects of one kind are reconciled with an older copy.
struct restore_policy {
  /// Returns the rank of an object's state; nothing if its kind has no order,
  /// or the content is malformed.
  std::function<std::optional<object_rank>(const object&)> rank =
      [](const object&) { return std::nullopt; };
  /// Objects that the copy lacks are kept until they are written again, for a
  /// limited time. Otherwise they are removed at once.
  bool keep_missing = false;

  /// @return whether the rank of `left` is known to be higher than that of
  ///   `right`
  [[nodiscard]] bool IsNewer(const object& left, const object& right) const {
    const auto left_rank = rank(left);
    const auto right_rank = rank(right);
    return left_rank && right_rank && *left_rank > *right_rank;
  }
};

}  // namespace basilhoist
