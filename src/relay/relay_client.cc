#include "basilhoist/relay/relay_client.h"

#include <algorithm>
#include <utility>

#include "basilhoist/link/codec.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {

std::vector<relay_peer> relay_client::Usable(
    const std::string& failure_domain) const {
  const instant now = Now();
  std::vector<relay_peer> usable;
  double greatest = 0;
  for (const relay_peer& each : peers_) {
    if (each.failure_domain != failure_domain) continue;
    const auto avoided = avoid_until_.find(each.relay);
    if (avoided != avoid_until_.end() && now < avoided->second) continue;
    usable.push_back(each);
    greatest = std::max(greatest, each.cpu_cores);
  }
  const double least = failure_domain == options_.failure_domain
                           ? kStronger * options_.cpu_cores
                           : 0;
  std::erase_if(usable, [&](const relay_peer& each) {
    return each.cpu_cores < std::max(least, kTooWeak * greatest);
  });
  return usable;
}

std::vector<relay_peer> relay_client::Choose(const std::string& failure_domain,
                                             std::size_t shards,
                                             std::size_t turn) const {
  std::vector<relay_peer> usable = Usable(failure_domain);
  if (usable.empty()) return usable;
  std::rotate(
      usable.begin(),
      usable.begin() + static_cast<std::ptrdiff_t>(turn % usable.size()),
      usable.end());
  usable.resize(std::clamp<std::size_t>(shards / kLeastPart, 1, usable.size()));
  return usable;
}

std::set<std::string> relay_client::Domains() const {
  std::set<std::string> domains;
  for (const relay_peer& each : peers_) {
    if (domains.contains(each.failure_domain)) continue;
    if (Usable(each.failure_domain).empty()) continue;
    domains.insert(each.failure_domain);
  }
  return domains;
}

std::uint64_t relay_client::Send(const relay_peer& relay,
                                 const outbound_request& request,
                                 std::size_t most_records,
                                 std::vector<std::string> shards,
                                 relay_handlers on) {
  const instant now = Now();
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
      .most_records = static_cast<std::uint32_t>(most_records),
      .shards = std::move(shards)};
  if (!links_.Send(relay.relay, frame_kind::kRelayRequest, Encode(message))) {
    return 0;
  }
  const endpoint where = relay.relay;
  const timer_id timer = loop_.After(
      kTakenWithin, [this, where] { Fail(where, "not_taken_in_time"); });
  batches_.emplace(
      id, batch{.relay = where, .on = std::move(on), .taken_timer = timer});
  return id;
}

void relay_client::Cancel(std::uint64_t id) {
  const auto found = batches_.find(id);
  if (found == batches_.end()) return;
  loop_.Cancel(found->second.taken_timer);
  links_.Send(found->second.relay, frame_kind::kRelayCancel,
              Encode(relay_cancel{.id = id}));
  batches_.erase(found);
}

void relay_client::OnReply(const endpoint& relay, frame_kind kind,
                           std::string_view bytes) {
  if (kind != frame_kind::kRelayUpdate) return;
  const auto update = Decode<relay_update>(bytes);
  if (!update) {
    event_line("relay", "update_unreadable").With("relay", Format(relay));
    return;
  }
  const auto found = batches_.find(update->id);
  if (found == batches_.end() || found->second.relay != relay) return;
  loop_.Cancel(std::exchange(found->second.taken_timer, 0));
  const bool only_taken = update->parts.empty() && update->failed.empty() &&
                          update->not_sent.empty();
  if (only_taken) return;
  // The handler may cancel the batch.
  const auto on_update = found->second.on.on_update;
  on_update(*update);
}

void relay_client::OnLost(const endpoint& relay) { Fail(relay, "link_broke"); }

void relay_client::Fail(const endpoint& relay, const char* why) {
  avoid_until_[relay] = Now() + kAvoid;
  std::vector<std::uint64_t> lost;
  for (const auto& [id, each] : batches_) {
    if (each.relay == relay) lost.push_back(id);
  }
  // Its end of the link sees this and drops what it was working on.
  links_.Drop(relay);
  event_line("relay", "relay_lost")
      .With("relay", Format(relay))
      .With("cause", why)
      .With("batches", lost.size());
  for (const std::uint64_t id : lost) {
    const auto found = batches_.find(id);
    if (found == batches_.end()) continue;
    const auto on_lost = std::move(found->second.on.on_lost);
    loop_.Cancel(found->second.taken_timer);
    batches_.erase(found);
    on_lost();
  }
}

}  // namespace basilhoist
