// Internal state of the HTTP server: the libmicrohttpd daemon, its connections
// and requests. Only the server's own sources include it.
#pragma once

#include <microhttpd.h>

#include <optional>
#include <set>

#include "basilhoist/http/http_server.h"

namespace basilhoist {

/// Memory of libmicrohttpd for one connection, in bytes. It holds what was
/// received, an entry for each header field, argument and cookie, a copy of the
/// cookies, and the head of the reply. If the head of the reply does not fit,
/// the library closes the connection without a reply.
constexpr std::size_t kConnectionMemory = 256U << 10U;
/// The library reads into half of this memory. Pipelined requests may fill it
/// until the reply is sent.
constexpr std::size_t kReadBuffer = kConnectionMemory / 2;
/// Memory of an entry, in bytes.
constexpr std::size_t kEntryMemory = 64;

/// State of a server, shared with the callbacks of libmicrohttpd.
struct http_server::state {
  class exchange;
  struct connection;
  using exchange_ptr = std::shared_ptr<exchange>;

  event_loop& loop;
  http_server_options options;
  http_handler handler;
  MHD_Daemon* daemon = nullptr;
  fd_watch epoll_watch;  ///< Watches the daemon's epoll descriptor.
  timer_id timeout = 0;
  timer_id overdue_timer = 0;
  bool run_posted = false;
  std::set<connection*> connections;
  std::size_t unsent_replies = 0;
  bool close_after_replies = false;
  bool quiesced = false;
  /// Requests whose connection is suspended until the reply is available.
  std::set<exchange*> suspended;

  state(event_loop& the_loop, http_server_options the_options,
        http_handler the_handler)
      : loop(the_loop),
        options(std::move(the_options)),
        handler(std::move(the_handler)),
        epoll_watch(the_loop, [this](bool, bool) { Run(); }) {}

  /// @return whether connections are closed after their replies
  [[nodiscard]] bool ClosesAfterReplies() const {
    return close_after_replies || connections.size() * kConnectionMemory >
                                      options.max_idle_connection_memory;
  }

  /// Closes connections whose next request is overdue, and repeats this
  /// periodically.
  void CloseOverdue();

  /// Lets libmicrohttpd process its pending events.
  void Run() {
    MHD_run(daemon);
    ArmTimeout();
  }

  /// Schedules a Run from the event loop, unless one is scheduled already.
  void PostRun() {
    if (run_posted) return;
    run_posted = true;
    loop.Post([this] {
      run_posted = false;
      if (daemon != nullptr) Run();
    });
  }

  /// Sets the timer for the next timeout of libmicrohttpd.
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

  // Callbacks of libmicrohttpd; `slot` holds the exchange of a request, or the
  // connection in OnConnection.
  static void* OnTarget(void* self, const char* target, MHD_Connection*);
  static MHD_Result OnAccess(void* self, MHD_Connection* connection,
                             const char* url, const char* method, const char*,
                             const char* upload, size_t* upload_size,
                             void** slot);
  static void OnCompleted(void* self, MHD_Connection* from, void** slot,
                          MHD_RequestTerminationCode);
  static void OnConnection(void* self, MHD_Connection* from, void** slot,
                           MHD_ConnectionNotificationCode code);
};

/// A caller's connection.
struct http_server::state::connection {
  int fd = -1;
  bool used = false;  ///< Whether a request was received on it.
  /// Start of the wait for the next request; empty while one is processed.
  std::optional<instant> waiting_since;

  /// @return the state of libmicrohttpd's connection
  static connection& Of(MHD_Connection* from) {
    const auto* info =
        MHD_get_connection_info(from, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return *static_cast<connection*>(info->socket_context);
  }
};

}  // namespace basilhoist
