// Hands callers' requests over to peers that reach the backend servers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "basilhoist/link/messages.h"
#include "basilhoist/loop/event_loop.h"
#include "basilhoist/relay/relay_client.h"
#include "basilhoist/relay/relay_links.h"

namespace basilhoist {

/// How a request that was handed over has ended without an answer.
enum class handover_loss : std::uint8_t {
  kRejected,  ///< The peer did not take it; it has not run and will not.
  kLost,      ///< The peer or its link failed; it may have run.
};

/// Handlers for the end of a request that is handed over. One of them is called
/// once.
struct handover_handlers {
  std::function<void(const handover_reply&)> on_answer;
  std::function<void(handover_loss)> on_lost;
};

/// Sends whole requests to peers and tracks them until they are answered,
/// cancelled or lost.
class handover_client {
 public:
  /// Time within which a peer must accept a request. It is longer than for a
  /// batch, since a lost request may have run and cannot always be repeated.
  static constexpr milliseconds kAcceptTimeout{100};

  /// @param peers knows the peers, and which of them to avoid
  handover_client(event_loop& loop, relay_links& links, relay_client& peers)
      : loop_(loop), links_(links), peers_(peers) {}

  /// A peer that rejected a request gets no other one for this duration.
  static constexpr milliseconds kRejectionBackoff{100};

  /// @return whether there is a serving peer to send to
  [[nodiscard]] bool HasPeer() const {
    const auto peer = peers_.ChoosePeer({}, 0);
    return peer && peer->serving;
  }

  /// Chooses a peer; see relay_client::ChoosePeer.
  [[nodiscard]] std::optional<relay_peer> ChoosePeer(
      std::set<endpoint> excluded, double chance) const;

  /// Sends a request to a peer.
  /// @param request its id is set here
  /// @return the id, for Cancel; 0 if no link to the peer could be opened
  std::uint64_t Send(const endpoint& peer, handover_request request,
                     handover_handlers on);

  /// Cancels a request at its peer. Its handlers are not called afterwards.
  void Cancel(std::uint64_t id);

  /// Handles a frame from a peer.
  void OnReply(const endpoint& peer, frame_kind kind, std::string_view bytes);

  /// Handles the loss of a peer or of the link to it.
  void OnPeerLost(const endpoint& peer);

 private:
  struct pending {
    endpoint peer;
    handover_handlers on;
    timer_id accept_timer = 0;
  };

  event_loop& loop_;
  relay_links& links_;
  relay_client& peers_;
  std::map<std::uint64_t, pending> pending_;
  std::map<endpoint, instant> rejected_until_;
  std::uint64_t last_id_ = 0;
};

}  // namespace basilhoist
