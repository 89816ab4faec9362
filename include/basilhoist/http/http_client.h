// HTTP towards backend servers and the platform: libcurl multi in the loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// One request to send.
struct http_call {
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers;  ///< Each as "Name: value".
  std::string body;
  milliseconds timeout{1000};
  /// A longer reply body fails the call.
  std::size_t most_reply_bytes = 16U << 20U;
  std::string local_address;  ///< IP number to send from; empty for any.
  /// Asked when the connection stands, just before the first byte is sent;
  /// false gives the call up unsent. Empty means yes.
  std::function<bool()> may_send;
};

/// How a call ended. Valid only inside the callback.
class http_result {
 public:
  virtual ~http_result() = default;

  /// @return whether a whole reply arrived
  [[nodiscard]] virtual bool Answered() const = 0;

  /// @return whether any byte of the request may have left this process
  [[nodiscard]] virtual bool Sent() const = 0;

  /// @return whether the connection was refused
  [[nodiscard]] virtual bool Refused() const = 0;

  /// @return whether the time given was up
  [[nodiscard]] virtual bool TimedOut() const = 0;

  [[nodiscard]] virtual int Status() const = 0;
  [[nodiscard]] virtual std::string& Body() = 0;

  /// @return the reply header's value, or empty
  [[nodiscard]] virtual std::string Header(const char* name) const = 0;
};

using http_callback = std::function<void(http_result&)>;

/// Sends requests and keeps connections warm.
class http_client {
 public:
  explicit http_client(event_loop& loop);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts a call. A request is sent once at most: where libcurl would send
  /// it again on a fresh connection, the call fails instead.
  /// @param call what to send
  /// @param done called once, never from inside Start
  /// @return the call's id, for Abandon
  std::uint64_t Start(http_call call, http_callback done);

  /// Drops a call and closes its connection; its callback does not run.
  void Abandon(std::uint64_t id);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
