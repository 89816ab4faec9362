#include "basilhoist/relay/relay_links.h"

#include <algorithm>
#include <utility>

namespace basilhoist {

relay_links::relay_links(event_loop& loop, const endpoint& self, handlers on)
    : loop_(loop),
      memory_(
          std::make_shared<byte_budget>(kMaxBytes, kGuaranteedBytesPerLink)),
      self_(self),
      on_(std::move(on)),
      listener_(loop, self, [this](const auto& link) { Accept(link); }) {}

bool relay_links::Send(const endpoint& relay, frame_kind kind,
                       const std::string& payload) {
  auto& link = outgoing_[relay];
  if (!link || !link->IsOpen()) link = Connect(relay);
  if (!link) return false;
  link->Send(kind, payload);
  return true;
}

// Batches that the relay has not received must not reach it later: their shards
// are sent directly.
void relay_links::Disconnect(const endpoint& relay) {
  const auto found = outgoing_.find(relay);
  if (found == outgoing_.end()) return;
  if (found->second) found->second->Abort();
  outgoing_.erase(found);
}

std::size_t relay_links::LinksWithUnsentResults() const {
  return static_cast<std::size_t>(
      std::count_if(incoming_.begin(), incoming_.end(),
                    [](const auto& link) { return link->HasUnsentBytes(); }));
}

std::shared_ptr<frame_link> relay_links::Connect(const endpoint& relay) {
  const int fd = ConnectSocket({}, relay);
  if (fd < 0) return nullptr;
  auto link = std::make_shared<frame_link>(loop_, fd);
  link->ShareMemory(memory_);
  link->Open(
      [this, relay](frame_kind kind, std::string_view bytes) {
        on_.on_reply(relay, kind, bytes);
      },
      // Posted to the event loop, since the link may close while Send runs.
      [this, relay] {
        loop_.Post([this, relay] { on_.on_relay_disconnected(relay); });
      });
  return link;
}

void relay_links::Accept(const std::shared_ptr<frame_link>& link) {
  incoming_.insert(link);
  link->ShareMemory(memory_);
  const std::weak_ptr<frame_link> weak = link;
  link->Open(
      [this, weak](frame_kind kind, std::string_view bytes) {
        if (const auto open = weak.lock()) on_.on_request(open, kind, bytes);
      },
      [this, weak] {
        const auto closed = weak.lock();
        if (!closed) return;
        on_.on_sender_disconnected(closed.get());
        incoming_.erase(closed);
      });
}

}  // namespace basilhoist
