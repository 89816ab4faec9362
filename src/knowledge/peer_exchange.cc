#include "basilhoist/knowledge/peer_exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "basilhoist/link/codec.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// A beat is the time of day where that is higher, so that it grows on after a
// restart; a clock that jumps does not turn it back.
std::uint64_t NextBeat(std::uint64_t beat, std::uint64_t told) {
  const auto time_of_day =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  return std::max(
      {beat + 1, told + 1,
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
  Round();
  loop_.Every(options_.period, [this] { Round(); });
}

void peer_exchange::Know(const endpoint& where) {
  peers_.AddAddress(where, Now());
}

void peer_exchange::TellNews() {
  if (std::exchange(news_waits_, true)) return;
  loop_.Post([this] {
    news_waits_ = false;
    Tell(true);
  });
}

void peer_exchange::SetRole(bool reads_store, bool has_reader) {
  const bool changed = reads_store != reads_store_;
  reads_store_ = reads_store;
  has_reader_ = has_reader;
  if (changed) TellNews();
}

std::vector<known_peer> peer_exchange::AlivePeers() const {
  return peers_.AlivePeers(Now(), UsualInterval());
}

// A datagram tells of a part of all peers.
microseconds peer_exchange::UsualInterval() const {
  const auto rounds = static_cast<int>(peers_.InstanceCount() / options_.told);
  return options_.period * std::max(1, rounds);
}

void peer_exchange::Round() {
  for (const endpoint& each : peers_.RemoveExpired(Now(), UsualInterval())) {
    event_line("peers", "peer_forgotten").With("peer", Format(each));
  }
  Tell(false);
}

peer_state peer_exchange::OwnState() {
  beat_ = NextBeat(beat_, peers_.ReportedOwnBeat());
  peer_state state{
      .incarnation = incarnation_,
      .beat = beat_,
      .address = Format(options_.self),
      .failure_domain = options_.tell.failure_domain,
      .processor_permille = options_.processor_permille,
      .reads_store = reads_store_,
      .joining = !has_reader_,
      .known_instances = static_cast<std::uint32_t>(peers_.InstanceCount()),
      .known_permille = peers_.KnownProcessorPermille()};
  on_.fill(state);
  return state;
}

// Peers that have been quiet for half of the time until they are forgotten are
// not passed on: those who forget one would take it up again from others.
std::string peer_exchange::Message(peer_state state, const std::string& first,
                                   bool only_first) {
  const microseconds lately =
      std::max<microseconds>(peer_table::kExpireAfter,
                             UsualInterval() * peer_table::kExpireIntervals) /
      2;
  state.told = ChooseReportedPeers(peers_, first, only_first, options_.told,
                                   lately, Now(), random_);
  return Encode(state);
}

void peer_exchange::Tell(bool news) {
  const gossip_targets targets = ChooseGossipTargets(
      peers_, options_.tell, reads_store_, has_reader_, news, random_);
  const peer_state state = OwnState();
  const std::string& domain = options_.tell.failure_domain;
  if (!targets.local.empty()) {
    const std::string bytes = Message(state, domain, false);
    for (const endpoint& each : targets.local) Send(each, bytes, true);
  }
  if (!targets.remote.empty()) {
    const std::string bytes = Message(state, domain, true);
    for (const endpoint& each : targets.remote) Send(each, bytes, false);
  }
}

void peer_exchange::Answer(const peer_state& asked) {
  peer_state state = OwnState();
  // Or two instances without readers would answer each other for good.
  state.joining = false;
  Send(ParseEndpoint(asked.address),
       Message(std::move(state), asked.failure_domain, false),
       asked.failure_domain == options_.tell.failure_domain);
}

void peer_exchange::Send(const endpoint& to, const std::string& bytes,
                         bool near) {
  (near ? near_bytes_ : far_bytes_) += bytes.size();
  socket_.Send(to, bytes);
}

void peer_exchange::OnDatagram(std::string_view bytes) {
  const auto state = Decode<peer_state>(bytes);
  if (!state) {
    event_line("peers", "datagram_unreadable").With("bytes", bytes.size());
    return;
  }
  const peer_table::receive_result taken = peers_.Receive(*state, Now());
  if (taken == peer_table::receive_result::kIgnored) return;
  if (taken == peer_table::receive_result::kFirst) {
    event_line("peers", "peer_heard").With("peer", state->name);
  }
  if (state->joining) Answer(*state);
  on_.on_state(*state);
}

}  // namespace basilhoist
