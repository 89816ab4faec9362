#include "basilhoist/knowledge/peer_exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "basilhoist/link/codec.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Addresses told in one datagram, so that it fits one packet.
constexpr std::size_t kToldPeers = 16;

}  // namespace

peer_exchange::peer_exchange(event_loop& loop, peer_exchange_options options,
                             handlers on)
    : loop_(loop),
      options_(std::move(options)),
      on_(std::move(on)),
      random_(options_.seed),
      socket_(loop, options_.self,
              [this](std::string_view bytes) { OnDatagram(bytes); }) {}

void peer_exchange::Start() {
  Round();
  loop_.Every(options_.period, [this] { Round(); });
}

void peer_exchange::Know(const endpoint& where) {
  if (where.port == 0 || where == options_.self) return;
  peers_.try_emplace(where, peer{.known_since = Now()});
}

void peer_exchange::TellAll() { Tell(peers_.size()); }

std::vector<peer_state> peer_exchange::Heard() const {
  std::vector<peer_state> states;
  const instant now = Now();
  for (const auto& [where, each] : peers_) {
    if (each.heard && now - each.heard_at < kHeardWithin) {
      states.push_back(each.state);
    }
  }
  return states;
}

std::size_t peer_exchange::InstanceCount() const { return peers_.size() + 1; }

std::size_t peer_exchange::RankFor(std::uint64_t key) const {
  const auto weight = [key](const endpoint& where) {
    const std::string text = Format(where);
    return XXH64(text.data(), text.size(), key);
  };
  const std::uint64_t own = weight(options_.self);
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [&](const auto& entry) { return weight(entry.first) > own; }));
}

void peer_exchange::Round() {
  Forget(Now());
  Tell(options_.fanout);
}

void peer_exchange::Tell(std::size_t most) {
  std::vector<endpoint> targets;
  targets.reserve(peers_.size());
  for (const auto& [where, each] : peers_) targets.push_back(where);
  std::shuffle(targets.begin(), targets.end(), random_);
  peer_state state{.address = Format(options_.self)};
  for (const endpoint& each : targets) {
    if (state.peers.size() >= kToldPeers) break;
    if (peers_.at(each).heard) state.peers.push_back(Format(each));
  }
  on_.fill(state);
  const std::string bytes = Encode(state);
  if (targets.size() > most) targets.resize(most);
  for (const endpoint& each : targets) socket_.Send(each, bytes);
}

void peer_exchange::OnDatagram(std::string_view bytes) {
  const auto state = Decode<peer_state>(bytes);
  if (!state) {
    event_line("peers", "datagram_unreadable").With("bytes", bytes.size());
    return;
  }
  const endpoint from = ParseEndpoint(state->address);
  if (from.port == 0 || from == options_.self) return;
  Know(from);
  peer& known = peers_.at(from);
  if (!known.heard) {
    event_line("peers", "peer_heard").With("peer", state->name);
  }
  known.heard = true;
  known.heard_at = Now();
  known.state = *state;
  for (const std::string& each : state->peers) Know(ParseEndpoint(each));
  on_.on_state(*state);
}

// A peer that left for good is told on by others for a while, so its entry is
// kept until nobody has heard it.
void peer_exchange::Forget(instant now) {
  std::erase_if(peers_, [now](const auto& entry) {
    const auto& [where, each] = entry;
    const instant last = each.heard ? each.heard_at : each.known_since;
    if (now - last < kForgetAfter) return false;
    event_line("peers", "peer_forgotten").With("peer", Format(where));
    return true;
  });
}

}  // namespace basilhoist
