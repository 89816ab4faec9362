// Instances tell each other what they hold, and find each other.
#pragma once

#include <functional>
#include <pcg_random.hpp>
#include <string_view>

#include "basilhoist/knowledge/peer_table.h"
#include "basilhoist/link/datagram_socket.h"

namespace basilhoist {

/// How a peer_exchange is set up.
struct peer_exchange_options {
  endpoint self;                            ///< Where datagrams are taken.
  std::uint32_t processor_permille = 1000;  ///< Of a core, for this instance.
  /// Between two rounds. Two rounds may be lost before a version that is due
  /// within three seconds is late.
  milliseconds period{500};
  /// Peers told in one round, drawn at random where there are more.
  std::size_t fanout = 3;
  /// Peers told at once of news. Whoever hears it for the first time tells as
  /// many, so that four steps reach several thousand peers.
  std::size_t news_fanout = 9;
  std::uint64_t seed = 1;
};

/// Sends this instance's state to peers and takes theirs.
class peer_exchange {
 public:
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

  /// Tells several peers at once, later in this turn.
  void TellNews();

  [[nodiscard]] const peer_table& Peers() const { return peers_; }

  /// @return what peers told last, of those that were heard lately
  [[nodiscard]] std::vector<peer_state> HeardLately() const;

 private:
  [[nodiscard]] microseconds UsualInterval() const;
  void Round();
  void Tell(std::size_t most);
  void OnDatagram(std::string_view bytes);

  event_loop& loop_;
  peer_exchange_options options_;
  handlers on_;
  peer_table peers_;
  pcg32 random_;
  bool news_waits_ = false;
  datagram_socket socket_;
};

}  // namespace basilhoist
