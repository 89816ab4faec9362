// Instances tell each other what they hold, and find each other.
#pragma once

#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/link/datagram_socket.h"
#include "basilhoist/link/messages.h"

namespace basilhoist {

/// How a peer_exchange is set up.
struct peer_exchange_options {
  endpoint self;  ///< Where datagrams are taken.
  /// Between two rounds. Two rounds may be lost before a version that is due
  /// within three seconds is late.
  milliseconds period{500};
  /// Peers told in one round, drawn at random where there are more.
  std::size_t fanout = 3;
  std::uint64_t seed = 1;
};

/// Sends this instance's state to peers and takes theirs.
class peer_exchange {
 public:
  /// A peer that was not heard for so long no longer counts.
  static constexpr milliseconds kForgetAfter{30000};
  /// Heard lately enough to be relied on until shown otherwise.
  static constexpr milliseconds kHeardWithin{6000};

  struct handlers {
    /// Fills in what this instance tells; addresses of peers are added.
    std::function<void(peer_state&)> fill;
    /// A peer's state arrived.
    std::function<void(const peer_state&)> on_state;
  };

  peer_exchange(event_loop& loop, peer_exchange_options options, handlers on);

  [[nodiscard]] bool Bound() const { return socket_.Bound(); }
  void Start();

  /// Adds an address where a peer may be.
  void Know(const endpoint& where);

  /// Tells all peers at once, since something has changed.
  void TellAll();

  /// @return what peers told last, of those that were heard lately
  [[nodiscard]] std::vector<peer_state> Heard() const;

  /// @return instances to share limits with, this one included: those heard
  ///   lately and those known of but not heard yet
  [[nodiscard]] std::size_t InstanceCount() const;

  /// Orders instances by rendezvous hashing, the same on all of them as far
  /// as they know of each other.
  /// @return how many known instances come before this one for a key
  [[nodiscard]] std::size_t RankFor(std::uint64_t key) const;

 private:
  struct peer {
    instant known_since;
    instant heard_at;
    bool heard = false;
    peer_state state;
  };

  void Round();
  void Tell(std::size_t most);
  void OnDatagram(std::string_view bytes);
  void Forget(instant now);

  event_loop& loop_;
  peer_exchange_options options_;
  handlers on_;
  std::map<endpoint, peer> peers_;
  pcg32 random_;
  datagram_socket socket_;
};

}  // namespace basilhoist
