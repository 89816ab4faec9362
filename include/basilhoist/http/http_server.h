// HTTP towards callers and operators: libmicrohttpd inside the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "basilhoist/http/http_exchange.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// How long a caller may take or stay idle.
struct caller_timeouts {
  milliseconds header{10000};  ///< From a request's first byte to its body.
  milliseconds idle{60000};    ///< Between two requests.
};

/// Settings of one listening socket.
struct http_server_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  unsigned max_connections = 1000;
  std::size_t max_body_bytes = 1U << 20U;
  milliseconds body_timeout{5000};
  caller_timeouts timeouts;
  /// Makes the reply for a fault found before the handler runs.
  std::function<http_reply(int status, std::string_view text)> refuse;
};

/// Listens on one address and port.
class http_server {
 public:
  http_server(event_loop& loop, http_server_options options,
              http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// @return whether the socket could be bound
  [[nodiscard]] bool Listening() const;

  /// From now on tells callers with each reply not to use their connection
  /// again.
  void CloseAfterReplies();

  /// Stops accepting; requests in flight go on. A second call does nothing.
  void Quiesce();

  /// Closes the listening socket and every connection.
  void Shut();

  /// Sets how long callers may take, for open connections as well.
  void SetTimeouts(const caller_timeouts& timeouts);

  /// Sets how large a request's body may be, from the next request on.
  void SetMostBodyBytes(std::size_t bytes);

  /// @return connections open now
  [[nodiscard]] unsigned Connections() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
