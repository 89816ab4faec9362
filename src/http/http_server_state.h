// The HTTP server's daemon, connections and requests; used by its sources only.
#pragma once

#include <microhttpd.h>

#include <optional>
#include <set>

#include "basilhoist/http/http_server.h"

namespace basilhoist {

/// What the library's callbacks work on.
struct http_server::state {
  class exchange;
  struct connection;
  using exchange_ptr = std::shared_ptr<exchange>;

  event_loop& loop;
  http_server_options options;
  http_handler handler;
  MHD_Daemon* daemon = nullptr;
  fd_watch watch;
  timer_id timeout = 0;
  timer_id next_overdue = 0;
  bool run_posted = false;
  std::set<connection*> connections;
  bool close_after_replies = false;
  bool quiesced = false;
  std::set<exchange*> suspended;

  state(event_loop& the_loop, http_server_options the_options,
        http_handler the_handler)
      : loop(the_loop),
        options(std::move(the_options)),
        handler(std::move(the_handler)),
        watch(the_loop, [this](bool, bool) { Run(); }) {}

  /// Closes connections whose next request is overdue.
  void CloseOverdue();

  void Run() {
    MHD_run(daemon);
    ArmTimeout();
  }

  void PostRun() {
    if (run_posted) return;
    run_posted = true;
    loop.Post([this] {
      run_posted = false;
      if (daemon != nullptr) Run();
    });
  }

  void ArmTimeout() {
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    loop.Cancel(timeout);
    timeout = 0;
    if (MHD_get_timeout(daemon, &wait_ms) != MHD_YES) return;
    timeout = loop.After(milliseconds(wait_ms), [this] {
      timeout = 0;
      Run();
    });
  }

  static void* OnTarget(void* self, const char* target, MHD_Connection*);
  static MHD_Result OnAccess(void* self, MHD_Connection* connection,
                             const char* url, const char* method, const char*,
                             const char* upload, size_t* upload_size,
                             void** slot);
  static void OnCompleted(void* self, MHD_Connection* from, void** slot,
                          MHD_RequestTerminationCode);
  static void OnConnection(void* self, MHD_Connection* from, void** kept,
                           MHD_ConnectionNotificationCode code);
};

/// One caller's connection.
struct http_server::state::connection {
  int fd = -1;
  bool used = false;  ///< Whether a request came on it.
  /// Since when its next request is waited for; none while one is handled.
  std::optional<instant> waiting_since;

  static connection& Of(MHD_Connection* from) {
    const auto* info =
        MHD_get_connection_info(from, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return *static_cast<connection*>(info->socket_context);
  }
};

}  // namespace basilhoist
