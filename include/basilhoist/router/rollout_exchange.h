// Connects rollouts with the store, the peers and the event loop.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "basilhoist/loop/event_loop.h"
#include "basilhoist/rollout/rollout_controller.h"
#include "basilhoist/router/platform_binding.h"
#include "basilhoist/store/object_store.h"

namespace basilhoist {

/// Sends the controller's reports and notices, and writes statuses.
class rollout_exchange {
 public:
  /// How often due writes are looked for.
  static constexpr milliseconds kWritePeriod{100};

  using send_function =
      std::function<void(const endpoint& to, const std::string& bytes)>;

  /// @param send sends one datagram
  rollout_exchange(event_loop& loop, rollout_controller& controller,
                   object_store& store, const platform_binding& platform,
                   send_function send);

  void Start();

  /// Called with all orders when they have changed.
  void OnOrders(const object_snapshot& snapshot);

  /// Handles a datagram of a peer.
  /// @return whether it is one about rollouts
  bool OnDatagram(std::string_view bytes);

 private:
  void Send(const rollout_datagram& datagram);
  void Write(const rollout_write& write);
  // Called with the object as the store has it.
  void OnObject(const object& entry);

  event_loop& loop_;
  rollout_controller& controller_;
  object_store& store_;
  std::shared_ptr<const content_decoder> decoder_;
  std::string kind_;
  send_function send_;
};

}  // namespace basilhoist
