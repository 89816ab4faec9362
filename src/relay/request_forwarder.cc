#include "basilhoist/relay/request_forwarder.h"

#include <utility>
#include <vector>

#include "basilhoist/link/codec.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {

std::optional<relay_peer> request_forwarder::ChoosePeer(
    std::set<endpoint> excluded, double chance) const {
  const instant now = Now();
  for (const auto& [peer, until] : rejected_until_) {
    if (now < until) excluded.insert(peer);
  }
  return peers_.ChoosePeer(excluded, chance);
}

std::uint64_t request_forwarder::Send(const endpoint& peer,
                                      forwarded_request request,
                                      forward_handlers on) {
  const std::uint64_t id = ++last_id_;
  request.id = id;
  if (!links_.Send(peer, frame_kind::kForward, Encode(request))) return 0;
  const timer_id timer = loop_.After(
      kAcceptTimeout, [this, peer] { peers_.FailRelay(peer, "silent"); });
  pending_.emplace(
      id, pending{.peer = peer, .on = std::move(on), .accept_timer = timer});
  return id;
}

void request_forwarder::Cancel(std::uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) return;
  loop_.Cancel(found->second.accept_timer);
  links_.Send(found->second.peer, frame_kind::kForwardCancel,
              Encode(forward_cancel{.id = id}));
  pending_.erase(found);
}

void request_forwarder::OnReply(const endpoint& peer, frame_kind kind,
                                std::string_view bytes) {
  if (kind != frame_kind::kForwardReply) return;
  const auto reply = Decode<forwarded_reply>(bytes);
  if (!reply) {
    event_line("forward", "reply_unreadable").With("peer", Format(peer));
    return;
  }
  const auto found = pending_.find(reply->id);
  if (found == pending_.end() || found->second.peer != peer) return;
  loop_.Cancel(std::exchange(found->second.accept_timer, 0));
  if (reply->state == forward_state::kAccepted) return;
  const forward_handlers on = std::move(found->second.on);
  pending_.erase(found);
  if (reply->state == forward_state::kRejected) {
    rejected_until_[peer] = Now() + kRejectionBackoff;
    on.on_lost(forward_loss::kRejected);
  } else {
    on.on_answer(*reply);
  }
}

void request_forwarder::OnPeerLost(const endpoint& peer) {
  std::vector<std::function<void(forward_loss)>> lost;
  for (auto at = pending_.begin(); at != pending_.end();) {
    if (at->second.peer != peer) {
      ++at;
      continue;
    }
    loop_.Cancel(at->second.accept_timer);
    lost.push_back(std::move(at->second.on.on_lost));
    at = pending_.erase(at);
  }
  for (const auto& on_lost : lost) on_lost(forward_loss::kLost);
}

}  // namespace basilhoist
