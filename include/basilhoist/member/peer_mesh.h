// Links to all other instances.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "basilhoist/link/frame_link.h"
#include "basilhoist/member/member_view.h"

namespace basilhoist {

/// How the mesh is set up.
struct mesh_options {
  member self;
  /// Stands for the distance between failure domains, in experiments only.
  microseconds cross_domain_delay{0};
};

/// Where a frame came from, for the reply.
struct frame_source {
  std::string name;
  std::weak_ptr<frame_link> link;
};

/// Keeps one link to each known instance and takes links from them.
class peer_mesh {
 public:
  struct handlers {
    /// A frame arrived.
    std::function<void(const frame_source&, frame_kind, std::string_view)>
        on_frame;
    /// The link to a peer stands; heartbeats may flow.
    std::function<void(const member&)> on_peer;
    /// The link to a peer broke.
    std::function<void(const std::string& name)> on_lost;
  };

  peer_mesh(event_loop& loop, mesh_options options, handlers on);

  [[nodiscard]] bool Listening() const { return listener_.Listening(); }

  /// Makes sure that there is a link to this address.
  void Know(const endpoint& where);

  /// Sends a frame to an instance by name; dropped without a link.
  /// @return whether there was a link
  bool Send(const std::string& name, frame_kind kind,
            const std::string& payload);

  /// @return names of instances with a link
  [[nodiscard]] std::set<std::string> Linked() const;

  /// Drops frames from and to these instances, in experiments only.
  void Cut(std::set<std::string> names);

 private:
  struct outgoing {
    std::shared_ptr<frame_link> link;
    std::string name;  // empty until the peer has said hello
    std::string failure_domain;
  };

  void Connect(const endpoint& where);
  void OnIncoming(const std::shared_ptr<frame_link>& link);
  void OnHello(const hello& from, const std::shared_ptr<frame_link>& link);
  [[nodiscard]] microseconds DelayTo(const std::string& failure_domain) const;

  event_loop& loop_;
  mesh_options options_;
  handlers on_;
  std::map<endpoint, outgoing> outgoing_;
  std::map<std::string, endpoint> by_name_;
  std::set<std::shared_ptr<frame_link>> incoming_;
  std::set<std::string> cut_;
  link_listener listener_;
};

}  // namespace basilhoist
