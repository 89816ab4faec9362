// HTTP server for callers and operators. It runs in the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "basilhoist/http/http_exchange.h"
#include "basilhoist/loop/event_loop.h"
#include "basilhoist/memory/memory_budget.h"

namespace basilhoist {

/// Timeouts for a caller's connection.
struct caller_timeouts {
  milliseconds header{
      10000};  ///< From a request's first byte to its last header.
  milliseconds idle{60000};  ///< Without a byte, for example between requests.
};

/// Settings of a server and its listening socket.
struct http_server_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  unsigned max_connections = 1000;
  std::size_t max_head_bytes = std::size_t{128} << 10U;
  std::size_t max_body_bytes = 1U << 20U;
  /// Counts the memory of connections, requests and replies, and lets those
  /// give way that wait longest. If null, the server has a budget of its own.
  memory_budget_ptr memory;
  milliseconds body_timeout{
      5000};  ///< From the end of the head to the body's end.
  caller_timeouts timeouts;
  /// Builds the error reply to a request that the server rejects before the
  /// handler runs. If empty, the reply body is the plain text.
  std::function<http_reply(int status, std::string_view text)> make_error_reply;
};

/// Why a connection was closed, or a request was refused before it was handled.
enum class close_reason : std::uint8_t {
  kByCaller,            ///< The caller closed or reset it.
  kAfterReply,          ///< The caller or the server wanted no further request.
  kIdleTimeout,         ///< No byte arrived between requests.
  kHeadTimeout,         ///< A request's head took too long.
  kBodyTimeout,         ///< A request's body took too long.
  kReplyTimeout,        ///< The caller did not take the reply.
  kMemory,              ///< Buffers of clients exceeded the memory budget.
  kTooManyConnections,  ///< Too many connections were open.
  kStopped,             ///< The server was stopped.
};

constexpr std::size_t kCloseReasonCount = 9;

/// @return name of the reason for logs and metrics
std::string_view Name(close_reason value);

/// Listens on one address and port, and passes each complete request to the
/// handler. A request that is refused before has not run: its head or body is
/// too large (431, 413) or too slow (408), it is malformed (400, 501, 505), or
/// there are too many connections or too little memory (503).
class http_server {
 public:
  /// A head of the default limit may have up to this many fields, query
  /// arguments and cookies together: the shortest field has four bytes.
  static constexpr std::size_t kMaxFields = (std::size_t{128} << 10U) / 4;
  /// Maximum size of the head of a reply, in bytes. A reply with a larger head,
  /// or without a final status, is replaced by an error reply.
  static constexpr std::size_t kMaxReplyHeadBytes = 66U << 10U;

  http_server(event_loop& loop, http_server_options options,
              http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// @return whether the server is listening; false if the socket could not be
  /// bound, and after a stop
  [[nodiscard]] bool Listening() const;

  /// Adds "Connection: close" to each further reply, so that callers do not
  /// reuse their connections.
  void CloseAfterReplies();

  /// Stops accepting connections. Requests in progress continue. A second call
  /// has no effect.
  void Quiesce();

  /// Closes the listening socket and all connections.
  void Stop();

  /// Sets the timeouts, also for connections that are already open.
  void SetTimeouts(const caller_timeouts& timeouts);

  /// Sets the maximum size of a request body. A change applies also to requests
  /// whose body is being received.
  void SetMaxBodyBytes(std::size_t bytes);

  /// Sets the maximum size of a request's head, from the next request on.
  void SetMaxHeadBytes(std::size_t bytes);

  /// @return the number of connections closed, and requests refused, for the
  ///   reason
  [[nodiscard]] std::uint64_t Closed(close_reason reason) const;

  /// @return the number of open connections
  [[nodiscard]] unsigned Connections() const;

  /// @return the number of replies that the operating system has not taken yet
  ///   as a whole, because their callers read slowly
  [[nodiscard]] std::size_t UnsentReplies() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
