// Table of the other instances that this instance knows of. The table does not
// depend on how reports about them are transported.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/base/endpoint.h"
#include "basilhoist/link/messages.h"

namespace basilhoist {

/// Share of this instance in the limits that all instances have in common.
struct instance_share {
  std::size_t instance_count = 0;
  double share = 0;  ///< 0 to 1.
  /// As `share`, for limits on sends that relays make mostly.
  double relay_share = 0;

  bool operator==(const instance_share&) const = default;
};

/// What is known of another instance. Times are on this instance's clock.
struct known_peer {
  endpoint address;
  std::uint64_t order_hash = 0;  ///< Breaks ties: OrderHash(address).
  std::string failure_domain;    ///< Empty until reported.
  /// Thousandths of a processor core that it may use; 0 until reported.
  std::uint32_t processor_permille = 0;
  bool serving = false;
  bool is_reader = false;  ///< It follows the store, and the store answers it.
  /// It follows the store, whether or not the store answers it. Known only from
  /// its own datagrams.
  bool follows_store = false;
  std::uint64_t incarnation = 0;  ///< 0 until its own datagram was received.
  std::uint64_t beat = 0;         ///< Highest heartbeat counter received.
  instant known_since;
  instant alive_at;     ///< When its heartbeat counter last grew; the origin:
                        ///< no heartbeat received, direct or reported.
  instant received_at;  ///< Its own last datagram; the origin: none received.

  [[nodiscard]] bool SeenAlive() const { return alive_at > instant(); }
  [[nodiscard]] bool ReceivedDirectly() const {
    return received_at > instant();
  }
};

/// @return a hash of the address, the same on all instances
std::uint64_t OrderHash(const endpoint& address);

/// Stores peers by address until their heartbeat counter has not grown for
/// kExpireAfter. Limits are divided by the number of instances, so a peer that
/// may still be running is counted until then.
class peer_table {
 public:
  /// A peer is removed when its heartbeat counter has not grown for this
  /// duration, or for kExpireIntervals if that is longer.
  static constexpr milliseconds kExpireAfter{30000};
  /// In units of the expected interval between two heartbeats of one peer,
  /// which is long where there are many peers. The probability that a running
  /// peer is not reported for this many intervals is one in a few thousand.
  static constexpr int kExpireIntervals = 8;
  /// A peer is presumed alive when its heartbeat counter has grown within this
  /// duration, or within kAliveIntervals if that is longer.
  static constexpr milliseconds kAliveWithin{6000};
  /// In units of the expected interval between two heartbeats of one peer.
  static constexpr int kAliveIntervals = 2;
  /// Fraction of the instances known to peers that must be known here before
  /// this instance computes its own rank among them.
  static constexpr double kMinKnownShare = 0.9;
  /// An instance with less than this fraction of the processor capacity of the
  /// largest one in its failure domain is no relay.
  static constexpr double kMinRelayRatio = 0.5;
  /// Part of a limit on sends of relays that is left for the other instances,
  /// which send themselves what no relay takes.
  static constexpr double kOtherSendersPart = 0.1;

  /// Outcome of Receive.
  enum class receive_result : std::uint8_t {
    kFirst,    ///< First datagram received from this peer itself.
    kKnown,    ///< The peer had sent a datagram before.
    kStale,    ///< The peer has already sent a newer state.
    kIgnored,  ///< Sent by this instance itself, or without an address.
  };

  /// @param self address where this instance receives datagrams
  /// @param processor_permille thousandths of a processor core that this
  ///   instance may use
  explicit peer_table(endpoint self, std::uint32_t processor_permille = 1000)
      : self_(std::move(self)), processor_permille_(processor_permille) {}

  /// Adds an address where a peer may be running.
  void AddAddress(const endpoint& address, instant now);

  /// Applies the state that a peer sends of itself and its reports of others.
  receive_result Receive(const peer_state& state, instant now);

  /// Removes peers whose heartbeat counter has not grown for too long.
  /// @param expected_interval expected time between two heartbeats of one peer
  /// @return their addresses
  std::vector<endpoint> RemoveExpired(instant now,
                                      microseconds expected_interval);

  [[nodiscard]] const std::map<endpoint, known_peer>& Peers() const {
    return peers_;
  }

  /// @return the highest heartbeat counter of this instance that peers report
  [[nodiscard]] std::uint64_t ReportedOwnBeat() const {
    return reported_own_beat_;
  }

  /// @param expected_interval expected time between two heartbeats of one peer
  /// @return peers that are presumed alive
  [[nodiscard]] std::vector<known_peer> AlivePeers(
      instant now, microseconds expected_interval) const;

  /// @return number of instances that share the limits, this one included; also
  ///   counts addresses from which no heartbeat is known yet
  [[nodiscard]] std::size_t InstanceCount() const { return peers_.size() + 1; }

  /// @return processor capacity of all known instances, in thousandths of a
  ///   core; a peer whose capacity is unknown counts like the strongest
  [[nodiscard]] std::uint64_t KnownProcessorPermille() const;

  /// @return share of this instance in the total processor capacity, 0 to 1;
  ///   uses the total that a peer reports if it is higher than the one known
  ///   here
  [[nodiscard]] double Share(instant now) const;

  /// Divides limits on sends that relays make mostly: kOtherSendersPart at most
  /// among the instances that are no relays, the rest among the relays, by
  /// processor capacity. Instances that know the same peers divide alike. Where
  /// all are relays, as with equal instances, this is Share.
  /// @param failure_domain that of this instance
  /// @return share of this instance, 0 to 1
  [[nodiscard]] double RelayShare(instant now,
                                  const std::string& failure_domain) const;

  /// @return whether this instance knows at least kMinKnownShare of the
  ///   instances that peers report; one that has just started does not
  [[nodiscard]] bool KnowsMost(instant now) const;

  /// Orders the instances by weighted rendezvous hashing. Instances that know
  /// the same peers compute the same order. Those with more processor capacity
  /// tend to rank first.
  /// @param preferred_domain failure domain whose instances rank before all
  ///   others, and instances of unknown domains with them; empty if none does
  /// @param self_preferred whether this instance is in that domain
  /// @return number of known instances that rank before this one for a key; the
  ///   number of instances that peers report while too few are known here
  [[nodiscard]] std::size_t RankFor(std::uint64_t key, instant now,
                                    const std::string& preferred_domain = {},
                                    bool self_preferred = false) const;

 private:
  // Highest value reported within the last kExpireAfter.
  struct recent_maximum {
    std::uint64_t value = 0;
    instant at;

    void Update(std::uint64_t reported, instant now);
    [[nodiscard]] std::uint64_t At(instant now) const;
  };

  // Processor capacity of instances by their part in sends, in thousandths of
  // a core. With unknown instances, one that seems to be a relay may be none.
  struct sender_capacity {
    std::uint64_t relays = 0;
    std::uint64_t doubtful_relays = 0;  ///< Included in `relays`.
    std::uint64_t others = 0;
    std::uint64_t unknown = 0;
    bool self_is_relay = false;
    bool self_is_doubtful = false;
  };
  struct unknown_capacity {
    std::uint64_t total = 0;
    std::uint64_t largest = 0;  ///< Estimate for one instance.
  };

  [[nodiscard]] std::uint32_t MaxProcessorPermille() const;
  [[nodiscard]] unknown_capacity UnknownCapacity(instant now) const;
  [[nodiscard]] sender_capacity SenderCapacity(
      instant now, const std::string& failure_domain) const;
  void ReceiveReports(const told_domain& domain, instant now);

  endpoint self_;
  std::uint32_t processor_permille_;
  std::map<endpoint, known_peer> peers_;
  std::uint64_t reported_own_beat_ = 0;
  recent_maximum reported_instances_;
  recent_maximum reported_permille_;
};

}  // namespace basilhoist
