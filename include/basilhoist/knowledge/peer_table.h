// Instances that this one knows of, apart from how it hears of them.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/base/endpoint.h"
#include "basilhoist/link/messages.h"

namespace basilhoist {

/// What this instance may take of what all of them share.
struct instance_part {
  std::size_t instances = 0;
  double part = 0;  ///< 0 to 1.

  bool operator==(const instance_part&) const = default;
};

/// Remembers peers by their address until nobody hears them any more. What
/// depends on the count of instances is bounded by it, so that it counts a
/// peer that may be there.
class peer_table {
 public:
  /// A peer that was not heard for so long no longer counts; longer where
  /// there are so many that each is heard seldom.
  static constexpr milliseconds kForgetAfter{30000};
  /// Of the usual time between two states of one peer. That a living one is
  /// not heard for so many has a chance of one in a few thousand.
  static constexpr int kForgetStates = 8;
  /// Heard lately enough to be relied on until shown otherwise; longer where
  /// there are so many peers that each is heard seldom.
  static constexpr milliseconds kHeardWithin{6000};
  /// Of the usual time between two states of one peer.
  static constexpr int kMissedStates = 2;

  /// How a state was taken.
  enum class taken : std::uint8_t {
    kFirst,    ///< The peer had not been heard before.
    kAgain,    ///< It had.
    kIgnored,  ///< It is this instance's own, or of no address.
  };

  /// @param self where this instance takes datagrams
  /// @param processor_permille of a core that this instance may use
  explicit peer_table(endpoint self, std::uint32_t processor_permille = 1000)
      : self_(std::move(self)), processor_permille_(processor_permille) {}

  /// Adds an address where a peer may be.
  void Know(const endpoint& where, instant now);

  /// Takes what a peer tells of itself and of others.
  taken Take(const peer_state& state, instant now);

  /// Drops peers that were not heard for long.
  /// @param usual usual time between two states of one peer
  /// @return their addresses
  std::vector<endpoint> Forget(instant now, microseconds usual);

  /// @return all addresses known
  [[nodiscard]] std::vector<endpoint> Addresses() const;

  /// @return addresses of peers that were heard
  [[nodiscard]] std::vector<endpoint> Heard() const;

  /// @param usual usual time between two states of one peer
  /// @return what peers told last, of those that were heard lately
  [[nodiscard]] std::vector<peer_state> HeardLately(instant now,
                                                    microseconds usual) const;

  /// @return instances to share limits with, this one included: those heard
  ///   lately and those known of but not heard yet
  [[nodiscard]] std::size_t InstanceCount() const { return peers_.size() + 1; }

  /// @return the part of this instance in what all of them share, by what
  ///   they can do; a peer that was not heard yet counts like the strongest
  [[nodiscard]] double Part() const;

  /// Orders instances by weighted rendezvous hashing, the same on all of them
  /// as far as they know of each other. Strong ones tend to come first.
  /// @return how many known instances come before this one for a key
  [[nodiscard]] std::size_t RankFor(std::uint64_t key) const;

 private:
  struct peer {
    instant known_since;
    instant heard_at;
    bool heard = false;
    peer_state state;

    // One that states none still shares what is shared.
    [[nodiscard]] std::uint32_t processor_permille() const {
      return std::max(1U, state.processor_permille);
    }
  };

  [[nodiscard]] std::uint32_t Strongest() const;

  endpoint self_;
  std::uint32_t processor_permille_;
  std::map<endpoint, peer> peers_;
};

}  // namespace basilhoist
