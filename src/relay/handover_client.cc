#include "basilhoist/relay/handover_client.h"

#include <utility>
#include <vector>

#include "basilhoist/http/status.h"
#include "basilhoist/link/codec.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {

std::optional<relay_peer> handover_client::ChoosePeer(
    std::set<endpoint> excluded, double chance) const {
  const instant now = Now();
  for (const auto& [peer, until] : rejected_until_) {
    if (now < until) excluded.insert(peer);
  }
  return peers_.ChoosePeer(excluded, chance);
}

std::uint64_t handover_client::Send(const endpoint& peer,
                                    handover_request request,
                                    handover_handlers on) {
  const std::uint64_t id = ++last_id_;
  request.id = id;
  if (!links_.Send(peer, frame_kind::kHandover, Encode(request))) return 0;
  const timer_id timer = loop_.After(
      kAcceptTimeout, [this, peer] { peers_.FailRelay(peer, "silent"); });
  pending_.emplace(
      id, pending{.peer = peer, .on = std::move(on), .accept_timer = timer});
  return id;
}

void handover_client::Cancel(std::uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  loop_.Cancel(found->second.accept_timer);
  links_.Send(found->second.peer, frame_kind::kHandoverCancel,
              Encode(handover_cancel{.id = id}));
  pending_.erase(found);
}

void handover_client::OnReply(const endpoint& peer, frame_kind kind,
                              std::string_view bytes) {
  if (kind != frame_kind::kHandoverReply) return;
  const auto reply = Decode<handover_reply>(bytes);
  if (!reply) {
    event_line("handover", "reply_unreadable").With("peer", Format(peer));
    return;
  }
  const auto found = pending_.find(reply->id);
  if (found == pending_.end() || found->second.peer != peer) return;
  loop_.Cancel(std::exchange(found->second.accept_timer, 0));
  if (reply->state == handover_state::kAccepted) return;
  const handover_handlers on = std::move(found->second.on);
  pending_.erase(found);
  if (reply->state == handover_state::kRejected) {
    rejected_until_[peer] = Now() + kRejectionBackoff;
    on.on_lost(handover_loss::kRejected);
  } else if (!IsFinalStatus(reply->status)) {
    // A peer of an older build passes on whatever a server sent.
    event_line("handover", "invalid_status")
        .With("peer", Format(peer))
        .With("status", reply->status);
    on.on_lost(handover_loss::kLost);
  } else {
    on.on_answer(*reply);
  }
}

void handover_client::OnPeerLost(const endpoint& peer) {
  std::vector<std::function<void(handover_loss)>> lost;
  for (auto at = pending_.begin(); at != pending_.end();) {
    if (at->second.peer != peer) {
      ++at;
      continue;
    }
    loop_.Cancel(at->second.accept_timer);
    lost.push_back(std::move(at->second.on.on_lost));
    at = pending_.erase(at);
  }
  for (const auto& on_lost : lost) on_lost(handover_loss::kLost);
}

}  // namespace basilhoist
