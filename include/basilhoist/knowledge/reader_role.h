// Which instances of a failure domain follow the platform's store themselves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "basilhoist/knowledge/peer_table.h"

namespace basilhoist {

/// What an instance sees of the readers in its failure domain.
struct reader_view {
  /// Readers that the store answers, heard lately.
  std::size_t readers = 0;
  /// Those of them that come before this instance in the order.
  std::size_t readers_before = 0;
  /// All that follow the store, whether it answers them or not.
  std::size_t trying = 0;
  /// Those of them that come before this instance.
  std::size_t trying_before = 0;
  /// Others that come before this instance and do not follow the store.
  std::size_t idle_before = 0;

  bool operator==(const reader_view&) const = default;
};

/// Who an instance is, for its place in the order.
struct reader_identity {
  endpoint address;
  std::string failure_domain;
  std::uint32_t processor_permille = 1000;
};

/// A few instances of each failure domain read and watch the store, and the
/// others hear of changes from them. Nothing is agreed on: too many readers
/// cost calls, and one that hears no reader becomes one.
class reader_role {
 public:
  /// Wanted in a failure domain, so that one is left when two fail at once.
  static constexpr std::size_t kReaders = 3;
  /// Following the store at most where it does not answer some of them.
  static constexpr std::size_t kMostTrying = 6;
  /// Readers tell their domain twice a second; three lost in a row are seldom.
  static constexpr milliseconds kHeardWithin{1600};
  /// Readers are missing for so long before others take their place.
  static constexpr milliseconds kMissing{1000};
  /// Longer for each instance that should be the first to do so.
  static constexpr milliseconds kEachBefore{100};
  static constexpr milliseconds kMostBefore{1000};
  /// There are more readers than wanted for so long before one of them stops.
  static constexpr milliseconds kSurplus{3000};

  /// Decides anew.
  /// @return whether this instance follows the store
  bool Decide(const reader_view& view, instant now);

  [[nodiscard]] bool Reads() const { return reads_; }

 private:
  [[nodiscard]] static bool Wanted(const reader_view& view, microseconds since);

  bool reads_ = false;
  // Since when the role has differed from what is wanted; the origin: it has
  // not.
  instant since_;
};

/// @return what the table shows of the readers in an instance's domain; the
///   strongest come first, and among equals an order that is drawn by hash
reader_view ViewReaders(const peer_table& table, const reader_identity& self,
                        instant now);

}  // namespace basilhoist
