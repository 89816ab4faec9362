// One router process: what it knows, what it serves, how it ends.
#pragma once

#include <functional>
#include <memory>

#include "basilhoist/router/platform_binding.h"
#include "basilhoist/router/router_settings.h"

namespace basilhoist {

class event_loop;

/// Stands between callers and backend servers on a platform.
class router {
 public:
  router(event_loop& loop, router_settings settings, platform_binding platform);
  ~router();
  router(const router&) = delete;
  router& operator=(const router&) = delete;

  /// @return whether all addresses could be bound
  bool Start();

  /// Takes changed settings; addresses stay as they are.
  void Reload(const router_settings& settings);

  /// Ends gracefully: not ready at once, requests answered, then the loop is
  /// stopped.
  void Stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
