// A router process: its servers, its start and its graceful shutdown.
#pragma once

#include <functional>
#include <memory>

#include "basilhoist/router/platform_binding.h"
#include "basilhoist/router/router_settings.h"

namespace basilhoist {

class event_loop;

/// Routes callers' HTTP requests to the backend servers of a platform.
class router {
 public:
  router(event_loop& loop, router_settings settings, platform_binding platform);
  ~router();
  router(const router&) = delete;
  router& operator=(const router&) = delete;

  /// Starts to follow the cluster state; requests are served once it is known.
  /// @return whether all addresses could be bound
  bool Start();

  /// Applies changed settings. Only the retry budget and the grace period can
  /// change while the router runs.
  void Reload(const router_settings& settings);

  /// Shuts down gracefully: readiness probes fail from now on, requests in
  /// flight are answered, and then the event loop is stopped.
  void Stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
