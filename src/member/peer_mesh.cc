#include "basilhoist/member/peer_mesh.h"

#include <utility>

#include "basilhoist/link/codec.h"

namespace basilhoist {
namespace {

constexpr microseconds kReconnectAfter = milliseconds(200);

hello MakeHello(const member& self) {
  return {.name = self.name,
          .failure_domain = self.failure_domain,
          .link_address = Format(self.link),
          .ops_address = Format(self.ops),
          .incarnation = self.incarnation};
}

}  // namespace

peer_mesh::peer_mesh(event_loop& loop, mesh_options options, handlers on)
    : loop_(loop),
      options_(std::move(options)),
      on_(std::move(on)),
      listener_(loop, options_.self.link,
                [this](const auto& link) { OnIncoming(link); }) {}

void peer_mesh::Know(const endpoint& where) {
  if (where.port == 0 || where == options_.self.link) return;
  if (outgoing_.contains(where)) return;
  Connect(where);
}

void peer_mesh::Connect(const endpoint& where) {
  const int fd = ConnectSocket(options_.self.link.address, where);
  outgoing& out = outgoing_[where];
  const auto retry = [this, where] {
    const std::string name = outgoing_[where].name;
    outgoing_[where].link.reset();
    loop_.After(kReconnectAfter, [this, where] { Connect(where); });
    if (!name.empty()) on_.on_lost(name);
  };
  if (fd < 0) {
    retry();
    return;
  }
  out.link = std::make_shared<frame_link>(loop_, fd);
  out.link->SetDelay(DelayTo(out.failure_domain));
  const std::weak_ptr<frame_link> weak = out.link;
  out.link->Open(
      [this, where, weak](frame_kind kind, std::string_view bytes) {
        const std::string name = outgoing_[where].name;
        if (cut_.contains(name)) return;
        on_.on_frame({name, weak}, kind, bytes);
      },
      retry);
  out.link->Send(frame_kind::kHello, Encode(MakeHello(options_.self)));
}

void peer_mesh::OnIncoming(const std::shared_ptr<frame_link>& link) {
  incoming_.insert(link);
  const auto source = std::make_shared<frame_source>();
  source->link = link;
  link->Open(
      [this, source](frame_kind kind, std::string_view bytes) {
        if (kind != frame_kind::kHello) {
          if (cut_.contains(source->name)) return;
          on_.on_frame(*source, kind, bytes);
          return;
        }
        const auto from = Decode<hello>(bytes);
        const auto open = source->link.lock();
        if (!from || !open) return;
        source->name = from->name;
        OnHello(*from, open);
      },
      [this, weak = std::weak_ptr<frame_link>(link)] {
        if (const auto closed = weak.lock()) incoming_.erase(closed);
      });
}

void peer_mesh::OnHello(const hello& from,
                        const std::shared_ptr<frame_link>& link) {
  const member peer{.name = from.name,
                    .incarnation = from.incarnation,
                    .failure_domain = from.failure_domain,
                    .link = ParseEndpoint(from.link_address),
                    .ops = ParseEndpoint(from.ops_address)};
  link->SetDelay(DelayTo(peer.failure_domain));
  Know(peer.link);
  outgoing& out = outgoing_[peer.link];
  out.name = peer.name;
  out.failure_domain = peer.failure_domain;
  by_name_[peer.name] = peer.link;
  if (out.link) out.link->SetDelay(DelayTo(peer.failure_domain));
  on_.on_peer(peer);
}

microseconds peer_mesh::DelayTo(const std::string& failure_domain) const {
  const bool far = failure_domain != options_.self.failure_domain;
  return far ? options_.cross_domain_delay : microseconds(0);
}

bool peer_mesh::Send(const std::string& name, frame_kind kind,
                     const std::string& payload) {
  const auto found = by_name_.find(name);
  if (found == by_name_.end()) return false;
  const auto& link = outgoing_[found->second].link;
  if (!link || !link->IsOpen()) return false;
  // A cut looks like silence, not like a broken link.
  if (!cut_.contains(name)) link->Send(kind, payload);
  return true;
}

std::set<std::string> peer_mesh::Linked() const {
  std::set<std::string> names;
  for (const auto& [where, out] : outgoing_) {
    if (out.link && out.link->IsOpen() && !out.name.empty()) {
      names.insert(out.name);
    }
  }
  return names;
}

void peer_mesh::Cut(std::set<std::string> names) { cut_ = std::move(names); }

}  // namespace basilhoist
