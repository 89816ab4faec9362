// A request at the HTTP server. Only the server's own sources include this
// file.
#pragma once

#include <string>
#include <vector>

#include "http_server_state.h"

namespace basilhoist {

/// A request whose connection is suspended until the reply is available.
class http_server::state::exchange : public http_exchange {
 public:
  exchange(state& server, MHD_Connection* connection, std::string target);

  /// Sets the method and the decoded path.
  void SetRequestLine(const char* method, const char* path) {
    method_ = method;
    path_ = path;
  }
  [[nodiscard]] bool HasRequestLine() const { return !method_.empty(); }

  bool FirstOnConnection() const override { return first_on_connection_; }

  const std::string& Method() const override { return method_; }
  const std::string& Path() const override { return path_; }
  const std::string& Target() const override { return target_; }
  const std::string& Body() const override { return body_; }

  std::vector<http_header> Headers() const override;

  void OnCallerClosed(std::function<void()> callback) override {
    on_caller_closed_ = std::move(callback);
  }

  std::string Header(const char* name) const override {
    return Lookup(MHD_HEADER_KIND, name);
  }
  std::string Argument(const char* name) const override {
    return Lookup(MHD_GET_ARGUMENT_KIND, name);
  }

  std::string PeerAddress() const override;

  void Reply(http_reply reply) override;

  /// Lets libmicrohttpd continue with a suspended connection.
  void Resume();

  /// Receives a part of the body. A size of 0 marks its end; it is also passed
  /// again when the connection is resumed for the reply.
  MHD_Result Continue(const std::shared_ptr<exchange>& self, const char* data,
                      size_t* size);

  /// Rejects a request whose headers are sufficient for it: a declared body
  /// that is too large, too many open connections, or too little memory for the
  /// head of its reply.
  /// @return whether the request was rejected
  bool RejectFromHeaders();

  /// Passes the reply to libmicrohttpd for sending.
  void QueueStoredReply();

  /// Logs that the reply, if there is one, did not reach the caller.
  void LogLostReply() const;

  /// Stops the use of the connection, which libmicrohttpd may free afterwards.
  /// Reports a caller that closed before its reply.
  void Detach();

 private:
  /// Returns whether the largest head of a reply fits into the memory that the
  /// request leaves.
  [[nodiscard]] bool HasRoomForReply() const;
  [[nodiscard]] int Socket() const;
  void WatchCaller();
  void PeekAtCaller();
  [[nodiscard]] bool CallerClosed() const;
  void HandleCallerClosed();
  void NotifyCallerClosed();
  std::string Lookup(MHD_ValueKind kind, const char* name) const;
  [[nodiscard]] http_reply ErrorReply(int status, std::string_view text) const;
  void Reject(int status, std::string_view text);
  void Handle(const std::shared_ptr<exchange>& self);

  state& server_;
  MHD_Connection* connection_;
  std::string method_;
  std::string path_;
  std::string target_;
  std::string body_;
  http_reply reply_;
  instant body_deadline_;
  fd_watch caller_watch_;
  timer_id peek_timer_ = 0;
  std::function<void()> on_caller_closed_;
  bool first_on_connection_ = false;
  bool body_too_large_ = false;
  bool handled_ = false;
  bool suspended_ = false;
  bool replied_ = false;
};

}  // namespace basilhoist
