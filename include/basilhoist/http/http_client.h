// HTTP client for backend servers and the platform. It runs libcurl's multi
// interface in the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// An HTTP request to send, with its limits.
struct http_call {
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers;  ///< Each has the form "Name: value".
  std::string body;
  milliseconds timeout{1000};  ///< For the whole call, connecting included.
  /// The call fails if the reply body is longer.
  std::size_t max_reply_bytes = 16U << 20U;
  /// The call fails if the header lines of the reply are longer, those of
  /// interim replies and trailer fields included.
  std::size_t max_head_bytes = 64U << 10U;
  std::string local_address;  ///< Source IP address; empty for any.
  /// Called when the connection is established, just before the first byte of
  /// the request is sent. If it returns false, the call fails and nothing is
  /// sent. An empty function permits the send.
  std::function<bool()> may_send;
};

/// The outcome of a call. Valid only during the callback.
class http_result {
 public:
  virtual ~http_result() = default;

  /// @return whether a complete reply with a final status was received
  [[nodiscard]] virtual bool HasReply() const = 0;

  /// @return whether any byte of the request may have left this process
  [[nodiscard]] virtual bool Sent() const = 0;

  /// @return whether the connection could not be established, for example
  /// because it was refused
  [[nodiscard]] virtual bool ConnectFailed() const = 0;

  /// @return whether the call's timeout expired
  [[nodiscard]] virtual bool TimedOut() const = 0;

  /// @return the reply's status; 0 without a reply
  [[nodiscard]] virtual int Status() const = 0;

  /// @return the reply body received so far; the callback may move it out
  [[nodiscard]] virtual std::string& Body() = 0;

  /// @return the value of the reply header; empty if there is none
  [[nodiscard]] virtual std::string Header(const char* name) const = 0;
};

using http_callback = std::function<void(http_result&)>;

/// Sends HTTP requests and keeps idle connections open for reuse.
class http_client {
 public:
  explicit http_client(event_loop& loop);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts a call. The request is sent at most once: where libcurl would retry
  /// it on a new connection, the call fails instead.
  /// @param call the request to send
  /// @param done called once with the outcome, never from inside Start
  /// @return the id of the call, to pass to Abandon
  std::uint64_t Start(http_call call, http_callback done);

  /// Cancels a call and closes its connection. The callback does not run. An id
  /// of a call that has ended is ignored.
  void Abandon(std::uint64_t id);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
