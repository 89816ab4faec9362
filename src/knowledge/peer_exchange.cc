#include "basilhoist/knowledge/peer_exchange.h"

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
      peers_(options_.self, options_.processor_permille),
      random_(options_.seed),
      socket_(loop, options_.self,
              [this](std::string_view bytes) { OnDatagram(bytes); }) {}

void peer_exchange::Start() {
  Round();
  loop_.Every(options_.period, [this] { Round(); });
}

void peer_exchange::Know(const endpoint& where) { peers_.Know(where, Now()); }

void peer_exchange::TellAll() { Tell(peers_.Addresses().size()); }

void peer_exchange::TellNews() {
  if (std::exchange(news_waits_, true)) return;
  loop_.Post([this] {
    news_waits_ = false;
    Tell(options_.news_fanout);
  });
}

std::vector<peer_state> peer_exchange::HeardLately() const {
  return peers_.HeardLately(Now(), UsualInterval());
}

// Each peer tells a few of the others in a round.
microseconds peer_exchange::UsualInterval() const {
  const auto rounds =
      static_cast<int>(peers_.InstanceCount() / options_.fanout);
  return options_.period * std::max(1, rounds);
}

void peer_exchange::Round() {
  for (const endpoint& each : peers_.Forget(Now(), UsualInterval())) {
    event_line("peers", "peer_forgotten").With("peer", Format(each));
  }
  Tell(options_.fanout);
}

void peer_exchange::Tell(std::size_t most) {
  peer_state state{.address = Format(options_.self)};
  std::vector<endpoint> heard = peers_.Heard();
  std::shuffle(heard.begin(), heard.end(), random_);
  heard.resize(std::min(heard.size(), kToldPeers));
  for (const endpoint& each : heard) state.peers.push_back(Format(each));
  on_.fill(state);
  const std::string bytes = Encode(state);
  std::vector<endpoint> targets = peers_.Addresses();
  std::shuffle(targets.begin(), targets.end(), random_);
  targets.resize(std::min(targets.size(), most));
  for (const endpoint& each : targets) socket_.Send(each, bytes);
}

void peer_exchange::OnDatagram(std::string_view bytes) {
  const auto state = Decode<peer_state>(bytes);
  if (!state) {
    event_line("peers", "datagram_unreadable").With("bytes", bytes.size());
    return;
  }
  const peer_table::taken taken = peers_.Take(*state, Now());
  if (taken == peer_table::taken::kIgnored) return;
  if (taken == peer_table::taken::kFirst) {
    event_line("peers", "peer_heard").With("peer", state->name);
  }
  on_.on_state(*state);
}

}  // namespace basilhoist
