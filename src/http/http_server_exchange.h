// A request at the HTTP server. Only the server's own sources include this
// file.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "http_server_connection.h"

namespace basilhoist {

/// A whole request that waits for its reply.
class http_server::state::exchange : public http_exchange {
 public:
  /// @param bytes memory of the request with the copies that are made of it
  exchange(connection& from, received_request request, bool first,
           const memory_budget_ptr& memory, std::size_t bytes);

  bool FirstOnConnection() const override { return first_on_connection_; }
  const std::string& Method() const override { return request_.method; }
  const std::string& Path() const override { return path_; }
  const std::string& Target() const override { return request_.target; }
  const std::string& Body() const override { return *body_; }
  std::shared_ptr<const std::string> SharedBody() const override {
    return body_;
  }
  std::vector<http_header> Headers() const override {
    return request_.headers.All();
  }
  std::string Header(const char* name) const override {
    return std::string(request_.headers.Find(name));
  }
  std::size_t HeadBytes() const override { return request_.head_bytes; }
  std::string Argument(const char* name) const override;
  std::string PeerAddress() const override;

  void OnCallerClosed(std::function<void()> callback) override {
    on_caller_closed_ = std::move(callback);
  }

  void Reply(http_reply reply) override;

  /// Stops the use of the connection. Reports a caller that closed before its
  /// reply.
  void Detach();

  /// Calls the function that was set for callers that close.
  void NotifyCallerClosed();

 private:
  connection* connection_;  // null once the connection is not used any more
  received_request request_;
  std::string path_;
  std::shared_ptr<const std::string> body_;
  std::function<void()> on_caller_closed_;
  bool first_on_connection_;
};

}  // namespace basilhoist
