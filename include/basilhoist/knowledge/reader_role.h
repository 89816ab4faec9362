// Decides which instances of a failure domain follow the platform's store
// themselves. These instances are the readers of their domain.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "basilhoist/knowledge/feed_state.h"
#include "basilhoist/knowledge/peer_table.h"

namespace basilhoist {

/// Counts of the other instances in an instance's failure domain, by role. The
/// instances of a domain are ranked; the first ones should be the readers.
struct reader_counts {
  /// Readers that the store answers and that sent a datagram recently.
  std::size_t readers = 0;
  /// Those of them that rank before this instance.
  std::size_t readers_before = 0;
  /// Instances that follow the store, whether or not it answers them.
  std::size_t following = 0;
  /// Those of them that rank before this instance.
  std::size_t following_before = 0;
  /// Instances that rank before this one and do not follow the store.
  std::size_t idle_before = 0;

  bool operator==(const reader_counts&) const = default;
};

/// The properties of an instance that determine its rank.
struct reader_candidate {
  endpoint address;
  std::string failure_domain;
  std::uint32_t processor_permille = 1000;
};

/// Decides whether this instance is a reader. A few instances of each failure
/// domain list and watch the store, and the others receive changes from them.
/// The instances do not coordinate: too many readers only cost extra calls, and
/// an instance that receives from no reader becomes one.
class reader_role {
 public:
  /// Readers wanted in a failure domain, so that one is left when two fail at
  /// the same time.
  static constexpr std::size_t kWantedReaders = 3;
  /// Limit of the instances in a failure domain that follow the store when it
  /// does not answer some of them.
  static constexpr std::size_t kMaxFollowing = 6;
  /// A reader counts when its last datagram arrived within this time. Readers
  /// send to their domain twice a second, and three datagrams in a row are
  /// seldom lost.
  static constexpr milliseconds kReaderTimeout{1600};
  /// Readers must be missing for this duration before other instances take
  /// their place.
  static constexpr milliseconds kTakeoverDelay{1000};
  /// Added to kTakeoverDelay for each idle instance that ranks before this one
  /// and should take over first.
  static constexpr milliseconds kDelayPerInstance{100};
  /// Limit of the sum of these additional delays.
  static constexpr milliseconds kMaxAdditionalDelay{1000};
  /// There must be more readers than wanted for this duration before one of
  /// them stops.
  static constexpr milliseconds kStopDelay{3000};

  /// Evaluates the role again.
  /// @return whether this instance is a reader
  bool Decide(const reader_counts& counts, instant now);

  [[nodiscard]] bool IsReader() const { return is_reader_; }

 private:
  [[nodiscard]] static bool ShouldTakeOver(const reader_counts& counts,
                                           microseconds missing_for);

  bool is_reader_ = false;
  // When the wanted role began to differ from the current one; the origin: the
  // roles are the same.
  instant differs_since_;
};

/// Counts the readers in an instance's failure domain. Instances are ranked by
/// processor capacity, the highest first, and equal ones by a hash of their
/// address.
reader_counts CountReaders(const peer_table& table,
                           const reader_candidate& self, instant now);

/// @return the place of a reader among those of all failure domains that the
///   store answers, as far as they are known here
reader_place PlaceAmongReaders(const peer_table& table, const endpoint& self,
                               instant now);

}  // namespace basilhoist
