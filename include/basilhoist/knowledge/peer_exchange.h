// Instances tell each other what they hold, and find each other.
#pragma once

#include <functional>
#include <pcg_random.hpp>
#include <string_view>

#include "basilhoist/knowledge/peer_table.h"
#include "basilhoist/knowledge/gossip_plan.h"
#include "basilhoist/link/datagram_socket.h"

namespace basilhoist {

/// How a peer_exchange is set up.
struct peer_exchange_options {
  endpoint self;                            ///< Where datagrams are taken.
  std::uint32_t processor_permille = 1000;  ///< Of a core, for this instance.
  /// Between two rounds. Two rounds may be lost before a version that is due
  /// within three seconds is late.
  milliseconds period{500};
  /// Peers passed on in one datagram, so that it fits one packet.
  std::size_t told = 40;
  gossip_options tell;
  std::uint64_t seed = 1;
};

/// Sends this instance's state to peers and takes theirs.
class peer_exchange {
 public:
  struct handlers {
    /// Fills in what this instance tells; what it knows of peers is added.
    std::function<void(peer_state&)> fill;
    /// A peer's state arrived.
    std::function<void(const peer_state&)> on_state;
  };

  peer_exchange(event_loop& loop, peer_exchange_options options, handlers on);

  [[nodiscard]] bool Bound() const { return socket_.Bound(); }
  void Start();

  /// Adds an address where a peer may be.
  void Know(const endpoint& where);

  /// Tells several peers at once, later in this turn.
  void TellNews();

  /// Tells several peers now.
  void TellNow() { Tell(true); }

  /// Sets whether this instance follows the store, and whether it hears of a
  /// reader in its domain; both decide whom it tells.
  void SetRole(bool reads_store, bool has_reader);

  [[nodiscard]] const peer_table& Peers() const { return peers_; }

  /// @return peers that were alive lately
  [[nodiscard]] std::vector<known_peer> AlivePeers() const;

  /// @return bytes told so far, to the own domain and to others
  [[nodiscard]] std::uint64_t NearBytes() const { return near_bytes_; }
  [[nodiscard]] std::uint64_t FarBytes() const { return far_bytes_; }

 private:
  [[nodiscard]] microseconds UsualInterval() const;
  void Round();
  void Tell(bool news);
  void Answer(const peer_state& asked);
  [[nodiscard]] peer_state OwnState();
  [[nodiscard]] std::string Message(peer_state state, const std::string& first,
                                    bool only_first);
  void Send(const endpoint& to, const std::string& bytes, bool near);
  void OnDatagram(std::string_view bytes);

  event_loop& loop_;
  peer_exchange_options options_;
  handlers on_;
  peer_table peers_;
  pcg32 random_;
  std::uint64_t incarnation_;
  std::uint64_t beat_ = 0;
  bool reads_store_ = false;
  bool has_reader_ = false;
  bool news_waits_ = false;
  std::uint64_t near_bytes_ = 0;
  std::uint64_t far_bytes_ = 0;
  datagram_socket socket_;
};

}  // namespace basilhoist
