#include "basilhoist/member/ownership.h"

#include <algorithm>
#include <utility>

namespace basilhoist {

ownership::ownership(member self, ownership_options options)
    : self_(std::move(self)), options_(options) {}

std::size_t ownership::Majority() const { return view_.members.size() / 2 + 1; }

std::size_t ownership::PreviousMajority() const {
  return view_.previous.size() / 2 + 1;
}

microseconds ownership::Wait() const {
  return options_.lease + options_.longest_attempt + options_.clock_margin;
}

bool ownership::IsCurrent(const std::string& name,
                          std::uint64_t incarnation) const {
  const member* found = view_.Find(name);
  return found != nullptr && found->incarnation == incarnation;
}

bool ownership::WasMember(const std::string& name,
                          std::uint64_t incarnation) const {
  return std::any_of(
      view_.previous.begin(), view_.previous.end(), [&](const member& each) {
        return each.name == name && each.incarnation == incarnation;
      });
}

bool ownership::IsMember() const {
  return IsCurrent(self_.name, self_.incarnation);
}

std::set<std::string> ownership::FencedByUs() const {
  std::set<std::string> names;
  for (const auto& [name, peer] : peers_) {
    if (peer.fenced_by_us) names.insert(name);
  }
  return names;
}

bool ownership::OnView(const member_view& view, instant now) {
  if (view.epoch <= view_.epoch) return false;
  const bool direct = view.epoch == view_.epoch + 1;
  const bool leased = LeaseValid(now);
  own_previous_fenced_ = FencedByUs();
  came_from_previous_ = direct;
  // Only what was held under a valid lease at this very instant can be handed
  // over or carried on: a lapsed lease may have let a successor in.
  held_before_ =
      direct && leased && !retired_ ? holding_ : std::set<std::string>();
  view_ = view;
  orders_.clear();
  peers_.clear();
  out_since_.clear();
  released_.clear();
  holding_.clear();
  cleared_.clear();
  moves_.clear();
  moved_at_.reset();
  for (const auto& each : view_.members) {
    if (each.name != self_.name) peers_[each.name].last_heard = now;
  }
  if (direct && WasMember(self_.name, self_.incarnation)) {
    NoteMove(self_.name, {true, own_previous_fenced_, {}}, now);
  }
  const std::set<member> ended = ended_;
  for (const auto& each : ended) OnEnded(each, now);
  return true;
}

void ownership::NoteMove(const std::string& name, move what, instant now) {
  moves_[name] = std::move(what);
  if (!moved_at_ && moves_.size() >= PreviousMajority()) moved_at_ = now;
}

void ownership::OnHeartbeat(const heartbeat& beat, instant now) {
  if (beat.epoch != view_.epoch) return;
  if (WasMember(beat.from, beat.incarnation)) {
    NoteMove(beat.from,
             {true,
              {beat.previous_fenced.begin(), beat.previous_fenced.end()},
              {beat.released.begin(), beat.released.end()}},
             now);
  }
  if (!IsCurrent(beat.from, beat.incarnation)) return;
  peer_state& peer = peers_[beat.from];
  peer.last_heard = now;
  peer.last_sent_at_us = std::max(peer.last_sent_at_us, beat.sent_at_us);
  peer.retired = peer.retired || beat.retired;
  cleared_.insert(beat.cleared.begin(), beat.cleared.end());
  peer.fenced.insert(beat.fenced.begin(), beat.fenced.end());
  if (beat.echo_us != 0) {
    const instant granted =
        instant(microseconds(beat.echo_us)) + options_.lease;
    peer.granted_until = std::max(peer.granted_until, granted);
  }
  if (!beat.fenced.empty()) NoteFences(now);
}

void ownership::OnTime(instant now) {
  // After a pause of our own, silence says nothing about the others.
  const bool paused =
      last_time_ != instant() && now - last_time_ > options_.silence / 2;
  last_time_ = now;
  if (paused) {
    for (auto& [name, peer] : peers_) peer.last_heard = now;
    return;
  }
  bool fenced = false;
  for (auto& [name, peer] : peers_) {
    if (peer.fenced_by_us || now - peer.last_heard <= options_.silence)
      continue;
    peer.fenced_by_us = true;
    fenced = true;
  }
  if (fenced) NoteFences(now);
}

void ownership::NoteFences(instant now) {
  for (const auto& each : view_.members) {
    if (out_since_.contains(each.name)) continue;
    std::size_t votes = 0;
    for (const auto& [name, peer] : peers_) {
      votes += peer.fenced.contains(each.name) ? 1 : 0;
    }
    const auto own = peers_.find(each.name);
    if (own != peers_.end() && own->second.fenced_by_us && IsMember()) ++votes;
    if (votes >= Majority()) out_since_[each.name] = now;
  }
}

void ownership::OnEnded(const member& ended, instant now) {
  ended_.insert(ended);
  if (WasMember(ended.name, ended.incarnation) &&
      !moves_.contains(ended.name)) {
    NoteMove(ended.name, {}, now);
  }
  if (IsCurrent(ended.name, ended.incarnation)) {
    out_since_.emplace(ended.name, now);
  }
}

heartbeat ownership::MakeHeartbeat(const std::string& peer, instant now) const {
  heartbeat beat{.from = self_.name,
                 .incarnation = self_.incarnation,
                 .epoch = view_.epoch,
                 .sent_at_us = now.SinceBoot().count(),
                 .retired = retired_};
  const auto known = peers_.find(peer);
  if (known != peers_.end() && !known->second.fenced_by_us && IsMember()) {
    beat.echo_us = known->second.last_sent_at_us;
  }
  if (retired_) beat.cleared.assign(cleared_.begin(), cleared_.end());
  const auto fenced = FencedByUs();
  beat.fenced.assign(fenced.begin(), fenced.end());
  if (came_from_previous_) {
    beat.previous_fenced.assign(own_previous_fenced_.begin(),
                                own_previous_fenced_.end());
    beat.released.assign(released_.begin(), released_.end());
  }
  return beat;
}

bool ownership::LeaseValid(instant now) const {
  if (!IsMember()) return false;
  std::size_t grants = 1;
  for (const auto& [name, peer] : peers_) {
    if (peer.granted_until > now) ++grants;
  }
  return grants >= Majority();
}

const std::vector<std::string>& ownership::Order(
    const owned_server& server) const {
  auto& order = orders_[server];
  if (order.empty()) {
    order = OwnerOrder(view_, server.name, server.failure_domain);
  }
  return order;
}

bool ownership::IsOut(const std::string& name) const {
  if (name == self_.name) return retired_ || out_since_.contains(name);
  const auto peer = peers_.find(name);
  const bool retired = peer != peers_.end() && peer->second.retired;
  return retired || out_since_.contains(name);
}

std::string ownership::OwnerOf(const owned_server& server) const {
  for (const auto& name : Order(server)) {
    if (!IsOut(name)) return name;
  }
  return {};
}

// Every member before us in the order must be out, and for long enough that
// its lease and its last attempt are over. One that retired said itself that
// it holds nothing.
bool ownership::PredecessorsGone(const std::vector<std::string>& order,
                                 instant now) const {
  for (const auto& name : order) {
    if (name == self_.name) return true;
    const auto peer = peers_.find(name);
    if (peer != peers_.end() && peer->second.retired) continue;
    const auto out = out_since_.find(name);
    if (out == out_since_.end() || now < out->second + Wait()) return false;
  }
  return false;
}

// A hand-over by `holder` counts only if a majority of the epoch before moved
// on without having fenced it: then no successor can have taken its place.
bool ownership::ClearedBy(const std::string& holder) const {
  std::size_t votes = 0;
  for (const auto& [name, what] : moves_) {
    votes += what.reported && !what.previous_fenced.contains(holder) ? 1 : 0;
  }
  return votes >= PreviousMajority();
}

bool ownership::PreviousOwnersGone(const std::string& server,
                                   instant now) const {
  if (view_.previous.empty() || cleared_.contains(server)) return true;
  if (!moved_at_) return false;
  if (now >= *moved_at_ + Wait()) return true;
  if (held_before_.contains(server) && ClearedBy(self_.name)) return true;
  return std::any_of(moves_.begin(), moves_.end(), [&](const auto& entry) {
    return entry.second.released.contains(server) && ClearedBy(entry.first);
  });
}

bool ownership::MaySend(const owned_server& server, instant now) {
  if (retired_ || !LeaseValid(now)) return false;
  failure_domains_[server.name] = server.failure_domain;
  const auto& order = Order(server);
  if (!PredecessorsGone(order, now)) return false;
  if (!PreviousOwnersGone(server.name, now)) return false;
  holding_.insert(server.name);
  return true;
}

std::vector<std::string> ownership::ToRelease() const {
  std::vector<std::string> names;
  for (const auto& name : held_before_) {
    if (released_.contains(name)) continue;
    const auto domain = failure_domains_.find(name);
    const auto& order = Order({name, domain->second});
    if (order.empty() || order.front() != self_.name) names.push_back(name);
  }
  return names;
}

void ownership::Release(const std::string& server) {
  if (!held_before_.contains(server)) return;
  held_before_.erase(server);
  released_.insert(server);
}

void ownership::TakeUp(const std::vector<owned_server>& servers, instant now) {
  for (const auto& server : servers) static_cast<void>(MaySend(server, now));
}

// The successor in this epoch has not seen what let this member act, so it is
// told for which servers the owners of the epoch before are gone for good.
void ownership::Retire(const std::vector<owned_server>& servers, instant now) {
  for (const auto& server : servers) {
    if (PreviousOwnersGone(server.name, now)) cleared_.insert(server.name);
  }
  retired_ = true;
}

bool ownership::Settled() const {
  if (view_.epoch == 0) return false;
  return view_.previous.empty() || moved_at_.has_value();
}

std::set<std::string> ownership::Out() const {
  std::set<std::string> names;
  for (const auto& each : view_.members) {
    if (IsOut(each.name)) names.insert(each.name);
  }
  return names;
}

}  // namespace basilhoist
