#include "basilhoist/knowledge/peer_exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "basilhoist/link/codec.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Returns the next heartbeat counter: at least the system time in milliseconds,
// so that the counter keeps growing after a restart, and always higher than the
// previous and the reported one, so that a clock set back does not lower it.
std::uint64_t NextBeat(std::uint64_t beat, std::uint64_t reported_beat) {
  const auto time_of_day =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  return std::max(
      {beat + 1, reported_beat + 1,
       static_cast<std::uint64_t>(std::max<std::int64_t>(0, time_of_day))});
}

}  // namespace

peer_exchange::peer_exchange(event_loop& loop, peer_exchange_options options,
                             handlers on)
    : loop_(loop),
      options_(std::move(options)),
      on_(std::move(on)),
      peers_(options_.self, options_.processor_permille),
      random_(options_.seed),
      incarnation_(static_cast<std::uint64_t>(Now().SinceBoot().count())),
      socket_(loop, options_.self,
              [this](std::string_view bytes) { OnDatagram(bytes); }) {}

void peer_exchange::Start() {
  RunPeriodicRound();
  loop_.Every(options_.period, [this] { RunPeriodicRound(); });
}

void peer_exchange::AddAddress(const endpoint& address) {
  peers_.AddAddress(address, Now());
}

void peer_exchange::GossipSoon() {
  if (std::exchange(round_scheduled_, true)) return;
  loop_.Post([this] {
    round_scheduled_ = false;
    SendRound(true);
  });
}

void peer_exchange::SetRole(bool is_reader, bool has_reader) {
  const bool changed = is_reader != is_reader_;
  is_reader_ = is_reader;
  has_reader_ = has_reader;
  if (changed) GossipSoon();
}

std::vector<known_peer> peer_exchange::AlivePeers() const {
  return peers_.AlivePeers(Now(), ExpectedBeatInterval());
}

// One datagram reports only a sample of the peers, so that in a large fleet
// several rounds pass between two reports of the same peer.
microseconds peer_exchange::ExpectedBeatInterval() const {
  const auto rounds =
      static_cast<int>(peers_.InstanceCount() / options_.max_reported_peers);
  return options_.period * std::max(1, rounds);
}

void peer_exchange::RunPeriodicRound() {
  for (const endpoint& address :
       peers_.RemoveExpired(Now(), ExpectedBeatInterval())) {
    event_line("peers", "peer_forgotten").With("peer", Format(address));
  }
  SendRound(false);
}

peer_state peer_exchange::OwnState() {
  beat_ = NextBeat(beat_, peers_.ReportedOwnBeat());
  peer_state state{
      .incarnation = incarnation_,
      .beat = beat_,
      .address = Format(options_.self),
      .failure_domain = options_.gossip.failure_domain,
      .processor_permille = options_.processor_permille,
      .reads_store = is_reader_,
      .joining = !has_reader_,
      .known_instances = static_cast<std::uint32_t>(peers_.InstanceCount()),
      .known_permille = peers_.KnownProcessorPermille()};
  on_.fill(state);
  return state;
}

// Peers without a heartbeat for half of the expiry time are not reported:
// instances that have already removed such a peer would otherwise add it again.
std::string peer_exchange::EncodeMessage(peer_state state,
                                         const std::string& preferred_domain,
                                         bool only_preferred) {
  const microseconds alive_within =
      std::max<microseconds>(
          peer_table::kExpireAfter,
          ExpectedBeatInterval() * peer_table::kExpireIntervals) /
      2;
  state.told = ChooseReportedPeers(peers_, preferred_domain, only_preferred,
                                   options_.max_reported_peers, alive_within,
                                   Now(), random_);
  return Encode(state);
}

void peer_exchange::SendRound(bool urgent) {
  const gossip_targets targets = ChooseGossipTargets(
      peers_, options_.gossip, is_reader_, has_reader_, urgent, random_);
  const peer_state state = OwnState();
  const std::string& local_domain = options_.gossip.failure_domain;
  if (!targets.local.empty()) {
    const std::string bytes = EncodeMessage(state, local_domain, false);
    for (const endpoint& target : targets.local) Send(target, bytes, true);
  }
  if (!targets.remote.empty()) {
    const std::string bytes = EncodeMessage(state, local_domain, true);
    for (const endpoint& target : targets.remote) Send(target, bytes, false);
  }
  SendRateLimits(targets);
  SendServerHealth(targets);
  SendAdmission(targets);
}

void peer_exchange::SendRateLimits(const gossip_targets& targets) {
  const rate_limit_digest digest{.limits = on_.rate_limits()};
  if (digest.limits.empty()) return;
  SendTo(targets, Encode(digest));
}

void peer_exchange::SendServerHealth(const gossip_targets& targets) {
  const server_health_digest digest{.servers = on_.server_health()};
  if (!digest.servers.empty()) SendTo(targets, Encode(digest));
}

void peer_exchange::SendAdmission(const gossip_targets& targets) {
  const admission_digest digest{.reports = on_.admission()};
  if (!digest.reports.empty()) SendTo(targets, Encode(digest));
}

void peer_exchange::SendTo(const gossip_targets& targets,
                           const std::string& bytes) {
  for (const endpoint& target : targets.local) Send(target, bytes, true);
  for (const endpoint& target : targets.remote) Send(target, bytes, false);
}

void peer_exchange::Answer(const peer_state& received) {
  peer_state state = OwnState();
  // Clearing the request keeps two instances without readers from answering
  // each other endlessly.
  state.joining = false;
  Send(ParseEndpoint(received.address),
       EncodeMessage(std::move(state), received.failure_domain, false),
       received.failure_domain == options_.gossip.failure_domain);
}

void peer_exchange::Send(const endpoint& to, const std::string& bytes,
                         bool local) {
  (local ? local_bytes_ : remote_bytes_) += bytes.size();
  socket_.Send(to, bytes);
}

void peer_exchange::OnDigest(std::string_view bytes) {
  const auto limits = Decode<rate_limit_digest>(bytes);
  if (limits && limits->magic == rate_limit_digest::kMagic) {
    on_.on_rate_limits(limits->limits);
    return;
  }
  const auto health = Decode<server_health_digest>(bytes);
  if (health && health->magic == server_health_digest::kMagic) {
    on_.on_server_health(health->servers);
    return;
  }
  const auto admission = Decode<admission_digest>(bytes);
  if (admission && admission->magic == admission_digest::kMagic) {
    on_.on_admission(admission->reports);
    return;
  }
  event_line("peers", "datagram_unreadable").With("bytes", bytes.size());
}

void peer_exchange::SendTo(const endpoint& peer, const std::string& bytes) {
  const auto known = peers_.Peers().find(peer);
  Send(peer, bytes,
       known != peers_.Peers().end() &&
           known->second.failure_domain == options_.gossip.failure_domain);
}

void peer_exchange::OnDatagram(std::string_view bytes) {
  if (on_.on_datagram(bytes)) return;
  const auto state = Decode<peer_state>(bytes);
  if (!state) {
    OnDigest(bytes);
    return;
  }
  const peer_table::receive_result result = peers_.Receive(*state, Now());
  if (result == peer_table::receive_result::kIgnored) return;
  if (result == peer_table::receive_result::kFirst) {
    event_line("peers", "peer_heard").With("peer", state->name);
  }
  if (state->joining) Answer(*state);
  on_.on_state(*state);
}

}  // namespace basilhoist
