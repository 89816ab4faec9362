#include "basilhoist/relay/relay_links.h"

#include <algorithm>
#include <utility>

namespace basilhoist {

relay_links::relay_links(event_loop& loop, const endpoint& self, handlers on,
                         limits allowed)
    : loop_(loop),
      allowed_(std::move(allowed)),
      memory_(std::make_shared<byte_budget>(
          allowed_.memory ? allowed_.memory->Total() : kMaxBytes,
          kGuaranteedBytesPerLink)),
      self_(self),
      on_(std::move(on)),
      listener_(loop, self, [this](const auto& link) { Accept(link); }) {
  if (!allowed_.memory) return;
  allowed_.memory->Add(*this);
  share_.emplace(allowed_.memory, memory_use::kLinks);
  memory_->OnChange([this](std::size_t used) {
    share_->Resize(used);
    if (enforce_posted_ || used < kGuaranteedBytesPerLink) return;
    // A link must not be closed while it is being used.
    enforce_posted_ = true;
    loop_.Post([alive = std::weak_ptr(alive_), this] {
      if (alive.expired()) return;
      enforce_posted_ = false;
      allowed_.memory->Enforce();
    });
  });
}

relay_links::~relay_links() {
  // Links that others still hold must not report their size any more.
  memory_->OnChange({});
  if (allowed_.memory) allowed_.memory->Remove(*this);
}

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

std::optional<instant> relay_links::OldestWait(wait_kind kind) const {
  if (kind == wait_kind::kIdle) return std::nullopt;
  const auto oldest = OldestWaiting();
  return oldest ? oldest->WaitingSince() : std::nullopt;
}

std::size_t relay_links::Waiting(wait_kind kind) const {
  if (kind == wait_kind::kIdle) return 0;
  return static_cast<std::size_t>(std::count_if(
      incoming_.begin(), incoming_.end(),
      [](const auto& link) { return link->WaitingSince().has_value(); }));
}

void relay_links::EndOldestWait(wait_kind kind) {
  if (kind == wait_kind::kIdle) return;
  if (const auto oldest = OldestWaiting()) GiveUp(*oldest);
}

std::shared_ptr<frame_link> relay_links::OldestWaiting() const {
  std::shared_ptr<frame_link> oldest;
  for (const auto& link : incoming_) {
    const auto since = link->WaitingSince();
    if (!since) continue;
    if (!oldest || *since < *oldest->WaitingSince()) oldest = link;
  }
  return oldest;
}

std::shared_ptr<frame_link> relay_links::Quietest() const {
  return *std::min_element(incoming_.begin(), incoming_.end(),
                           [](const auto& a, const auto& b) {
                             return a->LastFrameAt() < b->LastFrameAt();
                           });
}

void relay_links::GiveUp(frame_link& link) {
  ++given_up_;
  link.Break();
}

void relay_links::Accept(const std::shared_ptr<frame_link>& link) {
  if (incoming_.size() >= allowed_.max_incoming) {
    // The link leaves incoming_ while it breaks.
    const auto quietest = Quietest();
    GiveUp(*quietest);
  }
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
