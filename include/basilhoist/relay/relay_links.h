// Links between instances that carry relayed requests.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "basilhoist/link/frame_link.h"
#include "basilhoist/memory/memory_budget.h"

namespace basilhoist {

/// Opens links to relays on demand and accepts links from instances that use
/// this one as a relay.
class relay_links : public memory_holder {
 public:
  /// Limit on the memory of all links together for frames that wait to be sent
  /// or are only partly received.
  static constexpr std::size_t kMaxBytes = 16U << 20U;
  /// Memory that each link may use even if the limit is reached.
  static constexpr std::size_t kGuaranteedBytesPerLink = 64U << 10U;

  struct handlers {
    /// Called for a frame from an instance that uses this one as a relay.
    std::function<void(const std::shared_ptr<frame_link>&, frame_kind,
                       std::string_view)>
        on_request;
    /// Called when a link from such an instance has closed.
    std::function<void(const frame_link*)> on_sender_disconnected;
    /// Called for a frame from a relay.
    std::function<void(const endpoint&, frame_kind, std::string_view)> on_reply;
    /// Called when the link to a relay has closed.
    std::function<void(const endpoint&)> on_relay_disconnected;
  };

  /// What links from other instances may use.
  struct limits {
    /// Limit on the links from instances that use this one as a relay. Beyond
    /// it, the one that has not sent a frame for longest is closed.
    std::size_t max_incoming = 4096;
    /// Counts the memory of all links; may be null.
    memory_budget_ptr memory = nullptr;
  };

  /// @param self the address to listen on
  relay_links(event_loop& loop, const endpoint& self, handlers on)
      : relay_links(loop, self, std::move(on), limits()) {}
  relay_links(event_loop& loop, const endpoint& self, handlers on,
              limits allowed);
  ~relay_links() override;
  relay_links(const relay_links&) = delete;
  relay_links& operator=(const relay_links&) = delete;

  [[nodiscard]] bool Listening() const { return listener_.Listening(); }

  /// Sends a frame to a relay, after opening a link if none is open.
  /// @return whether there is a link; it may still be connecting
  bool Send(const endpoint& relay, frame_kind kind, const std::string& payload);

  /// Closes the link to a relay without calling on_relay_disconnected.
  void Disconnect(const endpoint& relay);

  /// @return the number of links to instances that use this one as a relay and
  ///   have not received all results yet
  [[nodiscard]] std::size_t LinksWithUnsentResults() const;

  /// @return the number of links that were closed because of the limits
  [[nodiscard]] std::uint64_t LinksGivenUp() const { return given_up_; }

  [[nodiscard]] std::optional<instant> OldestWait(
      wait_kind kind) const override;
  [[nodiscard]] std::size_t Waiting(wait_kind kind) const override;
  void EndOldestWait(wait_kind kind) override;

 private:
  std::shared_ptr<frame_link> Connect(const endpoint& relay);
  void Accept(const std::shared_ptr<frame_link>& link);
  /// @return the incoming link that has waited longest; null if none waits
  [[nodiscard]] std::shared_ptr<frame_link> OldestWaiting() const;
  /// @return the incoming link that has not sent a frame for longest; there
  ///   must be one
  [[nodiscard]] std::shared_ptr<frame_link> Quietest() const;
  /// Closes a link that the caller keeps alive.
  void GiveUp(frame_link& link);

  event_loop& loop_;
  limits allowed_;
  std::optional<memory_share> share_;
  std::uint64_t given_up_ = 0;
  bool enforce_posted_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::shared_ptr<byte_budget> memory_;
  endpoint self_;
  handlers on_;
  std::map<endpoint, std::shared_ptr<frame_link>> outgoing_;
  std::set<std::shared_ptr<frame_link>> incoming_;
  link_listener listener_;
};

}  // namespace basilhoist
