// HTTP towards callers and operators: libmicrohttpd inside the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// One header of a request or reply.
struct http_header {
  std::string name;
  std::string value;
};

/// A reply to one request.
struct http_reply {
  int status = 200;
  std::string content_type = "application/json";  ///< Empty sends none.
  std::string body;
  std::vector<http_header> headers;
};

/// One request, which is replied to once, at once or later.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual const std::string& Method() const = 0;
  /// @return the path, percent-decoded and without the query
  [[nodiscard]] virtual const std::string& Path() const = 0;
  /// @return path and query as they came, byte for byte
  [[nodiscard]] virtual const std::string& Target() const = 0;
  [[nodiscard]] virtual const std::string& Body() const = 0;

  /// @return the header's value, or empty
  [[nodiscard]] virtual std::string Header(const char* name) const = 0;

  /// @return all headers in the order in which they came
  [[nodiscard]] virtual std::vector<http_header> Headers() const = 0;

  /// @return the query argument's value, or empty
  [[nodiscard]] virtual std::string Argument(const char* name) const = 0;

  /// @return the caller's IP number
  [[nodiscard]] virtual std::string PeerAddress() const = 0;

  /// @return whether this is the first request on its connection
  [[nodiscard]] virtual bool FirstOnConnection() const = 0;

  /// Calls a function once if the caller closes before the reply was sent.
  virtual void OnGone(std::function<void()> gone) = 0;

  /// Sends the reply; a second reply to one request is dropped.
  virtual void Reply(http_reply reply) = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// Settings of one listening socket.
struct http_server_options {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  unsigned max_connections = 1000;
  std::size_t max_body_bytes = 1U << 20U;
  milliseconds body_timeout{5000};
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

  /// Sets how long a connection may stay idle, from its next request on.
  void SetIdleTimeout(milliseconds idle);

  /// @return connections open now
  [[nodiscard]] unsigned Connections() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
