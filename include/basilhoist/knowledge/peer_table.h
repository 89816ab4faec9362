// Instances that this one knows of, apart from how it hears of them.
#pragma once

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

/// What is known of another instance. Times are this instance's own.
struct known_peer {
  endpoint address;
  std::uint64_t order = 0;  ///< Draws an order among equals: OrderOf(address).
  std::string failure_domain;            ///< Empty until somebody told it.
  std::uint32_t processor_permille = 0;  ///< 0 until somebody told it.
  bool serving = false;
  bool reads_store = false;       ///< It follows the store, which answers it.
  bool tries_store = false;       ///< It follows the store; its own word only.
  std::uint64_t incarnation = 0;  ///< 0 until it was heard itself.
  std::uint64_t beat = 0;
  instant known_since;
  instant alive_at;  ///< When its beat last grew; the origin: never told of.
  instant heard_at;  ///< Its own last datagram; the origin: none.

  [[nodiscard]] bool Told() const { return alive_at > instant(); }
  [[nodiscard]] bool Heard() const { return heard_at > instant(); }
};

/// @return a hash of the address, the same on all instances
std::uint64_t OrderOf(const endpoint& address);

/// Remembers instances by their address until their beat has stood still for
/// long. What depends on the count of instances is bounded by it, so that it
/// counts one that may be there.
class peer_table {
 public:
  /// One whose beat did not grow for so long no longer counts; longer where
  /// there are so many that each is told of seldom.
  static constexpr milliseconds kForgetAfter{30000};
  /// Of the usual time between two beats of one peer. That a living one is
  /// not told of for so many has a chance of one in a few thousand.
  static constexpr int kForgetBeats = 8;
  /// Alive lately enough to be relied on until shown otherwise; longer where
  /// there are so many peers that each is told of seldom.
  static constexpr milliseconds kAliveWithin{6000};
  /// Of the usual time between two beats of one peer.
  static constexpr int kMissedBeats = 2;
  /// Part of the instances others know that must be known here before this
  /// one takes a place among them.
  static constexpr double kCompleteShare = 0.9;

  /// How a state was taken.
  enum class taken : std::uint8_t {
    kFirst,    ///< The peer had not been heard before.
    kAgain,    ///< It had.
    kLate,     ///< It has told something newer before.
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

  /// Drops peers that were not alive for long.
  /// @param usual usual time between two beats of one peer
  /// @return their addresses
  std::vector<endpoint> Forget(instant now, microseconds usual);

  [[nodiscard]] const std::map<endpoint, known_peer>& Peers() const {
    return peers_;
  }

  /// @return the highest beat that others hold of this instance
  [[nodiscard]] std::uint64_t OwnBeatTold() const { return own_beat_told_; }

  /// @param usual usual time between two beats of one peer
  /// @return peers that were alive lately
  [[nodiscard]] std::vector<known_peer> AliveLately(instant now,
                                                    microseconds usual) const;

  /// @return instances to share limits with, this one included: those told of
  ///   lately and those known of but not told of yet
  [[nodiscard]] std::size_t InstanceCount() const { return peers_.size() + 1; }

  /// @return what all known instances may use of processors, in thousandths; a
  ///   peer that was not told of yet counts like the strongest
  [[nodiscard]] std::uint64_t KnownPermille() const;

  /// @return the part of this instance in what all of them share, by what
  ///   they can do; where a peer knows of more, by what it knows
  [[nodiscard]] double Part(instant now) const;

  /// Orders instances by weighted rendezvous hashing, the same on all of them
  /// as far as they know of each other. Strong ones tend to come first.
  /// @return how many known instances come before this one for a key; all of
  ///   them while peers know of many more
  [[nodiscard]] std::size_t RankFor(std::uint64_t key, instant now) const;

 private:
  // The most that a peer has told lately.
  struct told_total {
    std::uint64_t value = 0;
    instant at;

    void Offer(std::uint64_t told, instant now);
    [[nodiscard]] std::uint64_t At(instant now) const;
  };

  [[nodiscard]] std::uint32_t Strongest() const;
  void TakeTold(const told_domain& domain, instant now);

  endpoint self_;
  std::uint32_t processor_permille_;
  std::map<endpoint, known_peer> peers_;
  std::uint64_t own_beat_told_ = 0;
  told_total told_instances_;
  told_total told_permille_;
};

}  // namespace basilhoist
