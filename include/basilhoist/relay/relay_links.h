// Links that carry relayed requests, opened as they are needed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "basilhoist/link/frame_link.h"

namespace basilhoist {

/// Opens links to relays and takes links of others.
class relay_links {
 public:
  /// What waits for relays and their senders, and what has not come whole, may
  /// use so much memory in all, and on each link so much in any case.
  static constexpr std::size_t kMostBytes = 16U << 20U;
  static constexpr std::size_t kBytesAlways = 64U << 10U;

  struct handlers {
    /// A frame of an instance that relays through this one.
    std::function<void(const std::shared_ptr<frame_link>&, frame_kind,
                       std::string_view)>
        on_request;
    /// The link of such an instance broke.
    std::function<void(const frame_link*)> on_gone;
    /// A frame of a relay.
    std::function<void(const endpoint&, frame_kind, std::string_view)> on_reply;
    /// The link to a relay broke.
    std::function<void(const endpoint&)> on_lost;
  };

  relay_links(event_loop& loop, const endpoint& self, handlers on);

  [[nodiscard]] bool Listening() const { return listener_.Listening(); }

  /// Sends a frame to a relay; opens the link if there is none.
  /// @return whether there is a link, perhaps not connected yet
  bool Send(const endpoint& relay, frame_kind kind, const std::string& payload);

  /// Closes the link to a relay that has gone silent; on_lost does not run.
  void Drop(const endpoint& relay) { outgoing_.erase(relay); }

 private:
  std::shared_ptr<frame_link> Connect(const endpoint& relay);
  void Take(const std::shared_ptr<frame_link>& link);

  event_loop& loop_;
  std::shared_ptr<byte_budget> memory_;
  endpoint self_;
  handlers on_;
  std::map<endpoint, std::shared_ptr<frame_link>> outgoing_;
  std::set<std::shared_ptr<frame_link>> incoming_;
  link_listener listener_;
};

}  // namespace basilhoist
