// Gossip protocol: instances exchange their states by datagrams and discover
// each other.
#pragma once

#include <functional>
#include <pcg_random.hpp>
#include <string_view>

#include "basilhoist/knowledge/gossip_plan.h"
#include "basilhoist/knowledge/peer_table.h"
#include "basilhoist/link/datagram_socket.h"

namespace basilhoist {

struct peer_exchange_options {
  endpoint self;  ///< Address where this instance receives datagrams.
  /// Thousandths of a processor core that this instance may use.
  std::uint32_t processor_permille = 1000;
  /// Interval between two periodic rounds. A version that must arrive within
  /// three seconds is still in time when two rounds are lost.
  milliseconds period{500};
  /// Limit of the peers reported in one datagram, so that it fits one packet.
  std::size_t max_reported_peers = 40;
  gossip_options gossip;
  std::uint64_t seed = 1;
};

/// Sends this instance's state to peers and receives theirs.
class peer_exchange {
 public:
  struct handlers {
    /// Fills in the state to send; what is known of peers is added to it.
    std::function<void(peer_state&)> fill;
    /// Called with each state that a peer has sent.
    std::function<void(const peer_state&)> on_state;
    /// Returns the rate limits of servers to report in a round.
    std::function<std::vector<rate_limit_report>()> rate_limits;
    /// Called with the rate limits that a peer reports.
    std::function<void(const std::vector<rate_limit_report>&)> on_rate_limits;
    /// Returns the slow and silent servers to report in a round.
    std::function<std::vector<server_health_report>()> server_health;
    /// Called with the slow and silent servers that a peer reports.
    std::function<void(const std::vector<server_health_report>&)>
        on_server_health;
    /// Called with each datagram first; returns whether it has handled it.
    std::function<bool(std::string_view)> on_datagram = [](std::string_view) {
      return false;
    };
    /// Returns the reports of overload to send or pass on in a round.
    std::function<std::vector<admission_report>()> admission = [] {
      return std::vector<admission_report>();
    };
    /// Called with the reports of overload that a peer sends.
    std::function<void(const std::vector<admission_report>&)> on_admission =
        [](const std::vector<admission_report>&) {};
  };

  peer_exchange(event_loop& loop, peer_exchange_options options, handlers on);

  [[nodiscard]] bool Bound() const { return socket_.Bound(); }
  void Start();

  /// Adds an address where a peer may be running.
  void AddAddress(const endpoint& address);

  /// Schedules an urgent round for later in this turn of the event loop;
  /// several calls in one turn cause one round.
  void GossipSoon();

  /// Sends an urgent round now.
  void GossipNow() { SendRound(true); }

  /// Sets whether this instance is a reader, and whether it receives from a
  /// reader in its failure domain. Both determine the targets of a round.
  void SetRole(bool is_reader, bool has_reader);

  /// Sends a datagram of another part to a peer.
  void SendTo(const endpoint& peer, const std::string& bytes);

  [[nodiscard]] const peer_table& Peers() const { return peers_; }

  /// @return peers that are presumed alive
  [[nodiscard]] std::vector<known_peer> AlivePeers() const;

  /// @return bytes sent so far within the local failure domain
  [[nodiscard]] std::uint64_t LocalBytes() const { return local_bytes_; }
  /// @return bytes sent so far to other failure domains
  [[nodiscard]] std::uint64_t RemoteBytes() const { return remote_bytes_; }

 private:
  [[nodiscard]] microseconds ExpectedBeatInterval() const;
  void RunPeriodicRound();
  void SendRound(bool urgent);
  void SendRateLimits(const gossip_targets& targets);
  void SendServerHealth(const gossip_targets& targets);
  void SendAdmission(const gossip_targets& targets);
  void SendTo(const gossip_targets& targets, const std::string& bytes);
  void OnDigest(std::string_view bytes);
  void Answer(const peer_state& received);
  [[nodiscard]] peer_state OwnState();
  [[nodiscard]] std::string EncodeMessage(peer_state state,
                                          const std::string& preferred_domain,
                                          bool only_preferred);
  void Send(const endpoint& to, const std::string& bytes, bool local);
  void OnDatagram(std::string_view bytes);

  event_loop& loop_;
  peer_exchange_options options_;
  handlers on_;
  peer_table peers_;
  pcg32 random_;
  std::uint64_t incarnation_;
  std::uint64_t beat_ = 0;
  bool is_reader_ = false;
  bool has_reader_ = false;
  bool round_scheduled_ = false;
  std::uint64_t local_bytes_ = 0;
  std::uint64_t remote_bytes_ = 0;
  datagram_socket socket_;
};

}  // namespace basilhoist
