#include "basilhoist/relay/relay_client.h"

#include <algorithm>
#include <utility>

#include "basilhoist/link/codec.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Removes the shards that an update answers, fails or returns. Returns false if
// the relay does not hold one of them.
bool RemoveFinished(std::set<std::uint32_t>& unfinished,
                    const relay_update& update) {
  bool valid = true;
  const auto remove = [&](std::uint32_t shard) {
    valid = unfinished.erase(shard) == 1 && valid;
  };
  for (const relayed_part& part : update.parts) remove(part.shard);
  for (const std::uint32_t shard : update.failed) remove(shard);
  for (const std::uint32_t shard : update.not_sent) remove(shard);
  return valid;
}

}  // namespace

std::vector<relay_peer> relay_client::UsableRelays(
    const std::string& failure_domain) const {
  const instant now = Now();
  std::vector<relay_peer> usable;
  double max_cores = 0;
  for (const relay_peer& peer : peers_) {
    if (!peer.serving || peer.failure_domain != failure_domain) continue;
    if (IsAvoided(peer.address, now)) continue;
    usable.push_back(peer);
    max_cores = std::max(max_cores, peer.cpu_cores);
  }
  const double min_local_cores = failure_domain == options_.failure_domain
                                     ? kMinLocalCpuRatio * options_.cpu_cores
                                     : 0;
  std::erase_if(usable, [&](const relay_peer& peer) {
    return peer.cpu_cores < std::max(min_local_cores, kMinCpuRatio * max_cores);
  });
  return usable;
}

bool relay_client::IsAvoided(const endpoint& relay, instant now) const {
  const auto backoff = backoff_until_.find(relay);
  return backoff != backoff_until_.end() && now < backoff->second;
}

std::optional<relay_peer> relay_client::ChoosePeer(
    const std::set<endpoint>& excluded, double chance) const {
  const auto serving = ChoosePeer(excluded, chance, true);
  return serving ? serving : ChoosePeer(excluded, chance, false);
}

std::optional<relay_peer> relay_client::ChoosePeer(
    const std::set<endpoint>& excluded, double chance, bool serving) const {
  const instant now = Now();
  std::vector<const relay_peer*> usable;
  double total = 0;
  for (const relay_peer& peer : peers_) {
    if (peer.serving != serving || excluded.contains(peer.address) ||
        IsAvoided(peer.address, now)) {
      continue;
    }
    usable.push_back(&peer);
    total += peer.cpu_cores;
  }
  double left = chance * total;
  for (const relay_peer* peer : usable) {
    left -= peer->cpu_cores;
    if (left < 0) return *peer;
  }
  if (usable.empty()) return std::nullopt;
  return *usable.back();
}

std::vector<relay_peer> relay_client::ChooseRelays(
    const std::string& failure_domain, std::size_t shard_count,
    std::size_t rotation) const {
  std::vector<relay_peer> usable = UsableRelays(failure_domain);
  if (usable.empty()) return usable;
  std::rotate(
      usable.begin(),
      usable.begin() + static_cast<std::ptrdiff_t>(rotation % usable.size()),
      usable.end());
  usable.resize(std::clamp<std::size_t>(shard_count / kMinShardsPerRelay, 1,
                                        usable.size()));
  return usable;
}

std::set<std::string> relay_client::UsableDomains() const {
  std::set<std::string> domains;
  for (const relay_peer& peer : peers_) {
    if (domains.contains(peer.failure_domain)) continue;
    if (UsableRelays(peer.failure_domain).empty()) continue;
    domains.insert(peer.failure_domain);
  }
  return domains;
}

std::uint64_t relay_client::Send(const relay_peer& relay,
                                 const outbound_request& request,
                                 std::size_t max_records,
                                 std::vector<std::string> shards,
                                 batch_handlers on) {
  const instant now = Now();
  const std::size_t shard_count = shards.size();
  const std::uint64_t id = ++last_id_;
  const relay_request message{
      .id = id,
      .head = request.head,
      .body = *request.body,
      .is_head_method = request.is_head_method,
      .request_id = request.request_id,
      .route_name = request.route_name,
      .fingerprint = request.identity.exact,
      .path_fingerprint = request.identity.path,
      .max_attempts = request.max_attempts,
      .objective_us = request.objective.count(),
      .objective_left_us = (request.objective_at - now - kReturnMargin).count(),
      .deadline_left_us = (request.deadline - now - kReturnMargin).count(),
      .max_records = static_cast<std::uint32_t>(max_records),
      .shards = std::move(shards)};
  const relay_terms terms{.id = id,
                          .workspace = request.workspace,
                          .priority = request.priority,
                          .reserves_servers = true};
  if (!links_.Send(relay.address, frame_kind::kRelayTerms, Encode(terms)) ||
      !links_.Send(relay.address, frame_kind::kRelayRequest, Encode(message))) {
    return 0;
  }
  const endpoint address = relay.address;
  const timer_id timer = loop_.After(kAcceptTimeout, [this, address] {
    FailRelay(address, "not_taken_in_time");
  });
  batch& sent = batches_[id];
  sent = {.relay = address,
          .on = std::move(on),
          .shards = shard_count,
          .accept_timer = timer};
  for (std::uint32_t i = 0; i < shard_count; ++i) sent.unfinished.insert(i);
  return id;
}

void relay_client::Cancel(std::uint64_t id) {
  const auto found = batches_.find(id);
  if (found == batches_.end()) return;
  loop_.Cancel(found->second.accept_timer);
  links_.Send(found->second.relay, frame_kind::kRelayCancel,
              Encode(relay_cancel{.id = id}));
  batches_.erase(found);
}

void relay_client::OnReply(const endpoint& relay, frame_kind kind,
                           std::string_view bytes) {
  if (kind == frame_kind::kRelayLimits) {
    const auto message = Decode<relay_limits>(bytes);
    if (!message || !batches_.contains(message->id)) return;
    for (const rate_limit_report& limit : message->limits) {
      on_rate_limit_(limit);
    }
    return;
  }
  if (kind != frame_kind::kRelayUpdate) return;
  const auto update = Decode<relay_update>(bytes);
  if (!update) {
    event_line("relay", "update_unreadable").With("relay", Format(relay));
    return;
  }
  const auto found = batches_.find(update->id);
  if (found == batches_.end() || found->second.relay != relay) return;
  const timer_id accept_timer = std::exchange(found->second.accept_timer, 0);
  loop_.Cancel(accept_timer);
  const bool only_accepted = update->parts.empty() && update->failed.empty() &&
                             update->not_sent.empty();
  if (only_accepted) return;
  std::set<std::uint32_t> unfinished = found->second.unfinished;
  if (!RemoveFinished(unfinished, *update)) {
    // The records of the update are merged, so none of it can be used.
    FailRelay(relay, "invalid_update");
    return;
  }
  // A batch that is returned without having been accepted was rejected.
  if (accept_timer != 0 && update->not_sent.size() == found->second.shards) {
    AvoidRelay(relay);
  }
  // Copied, since the batch may have ended, or the handler may cancel it.
  const auto on_update = found->second.on.on_update;
  if (unfinished.empty()) {
    batches_.erase(found);
  } else {
    found->second.unfinished = std::move(unfinished);
  }
  on_update(*update);
}

void relay_client::OnDisconnect(const endpoint& relay) {
  FailRelay(relay, "link_broke");
}

void relay_client::FailRelay(const endpoint& relay, const char* cause) {
  backoff_until_[relay] = Now() + kFailureBackoff;
  std::vector<std::uint64_t> lost;
  for (const auto& [id, pending] : batches_) {
    if (pending.relay == relay) lost.push_back(id);
  }
  // When the link closes, the relay cancels the batches received over it.
  links_.Disconnect(relay);
  event_line("relay", "relay_lost")
      .With("relay", Format(relay))
      .With("cause", cause)
      .With("batches", lost.size());
  for (const std::uint64_t id : lost) {
    const auto found = batches_.find(id);
    if (found == batches_.end()) continue;
    const batch ended = std::move(found->second);
    loop_.Cancel(ended.accept_timer);
    batches_.erase(found);
    ended.on.on_lost({ended.unfinished.begin(), ended.unfinished.end()});
  }
  on_relay_lost_(relay);
}

}  // namespace basilhoist
