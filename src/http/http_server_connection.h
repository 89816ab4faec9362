// A caller's connection to the HTTP server. Only the server's own sources
// include this file.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "basilhoist/http/request_reader.h"
#include "http_server_state.h"
#include "outgoing_reply.h"

namespace basilhoist {

/// Reads requests one after the other and sends their replies.
class http_server::state::connection
    : public std::enable_shared_from_this<connection> {
 public:
  /// Memory of a connection without a request: this object, its watch and its
  /// places in lists. A router with 300 kept connections grew by 2.0 KB each.
  static constexpr std::size_t kFixedBytes = 2048;

  connection(state& server, int fd);
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Starts to wait for a request.
  void Open(connection_list::iterator position);

  [[nodiscard]] phase Phase() const { return phase_; }
  /// @return since when the caller has not sent, or taken, all that is expected
  [[nodiscard]] instant WaitingSince() const { return waiting_since_; }
  [[nodiscard]] int Socket() const { return fd_; }

  /// Receives the handler's reply.
  void OnReply(http_reply reply);

  /// Sends a reply and handles what has already been received of further
  /// requests.
  void Run();

  /// Answers a request that has not been handled, if there is one, and gives up
  /// the connection.
  void GiveWay(int status, std::string_view text, close_reason reason);

  /// Closes the socket.
  void Close(close_reason reason);

  void SetMaxBodyBytes(std::size_t bytes);

  /// @return whether the caller has closed the connection
  [[nodiscard]] bool CallerClosed() const;

 private:
  void OnEvent(bool readable, bool writable);
  void Read();
  void Discard();
  void Enter(phase next);
  /// Parses received bytes. Returns whether more can be done at once.
  bool Parse();
  void SkipEmptyLines();
  void OnHead();
  void OnRequest();
  /// Refuses the request that is being received. The connection is closed
  /// after the reply, since the rest of the request is not read.
  void Refuse(int status, std::string_view text);
  void StartReply(http_reply reply);
  /// Sends what the operating system takes. Returns whether the reply was sent
  /// as a whole and the connection is kept.
  bool Send();
  void EndAfterReply();
  void StartDraining();
  void WatchCaller();
  void PeekAtCaller();
  void OnCallerClosed();
  void LogLostReply() const;
  void UpdateShares();
  [[nodiscard]] std::size_t RequestBytes() const;

  state& server_;
  int fd_;
  fd_watch watch_;
  connection_list::iterator position_;
  phase phase_ = phase::kIdle;
  instant waiting_since_;
  bool used_ = false;         // whether a request was received on it
  bool keeps_ = true;         // whether it stays open after the reply
  bool is_http_1_0_ = false;  // version of the request
  bool is_head_method_ = false;
  bool caller_closed_ = false;
  std::string input_;        // received and not parsed yet
  std::string_view unread_;  // rest of the input while it is parsed
  std::unique_ptr<request_reader> reader_;
  std::shared_ptr<exchange> current_;
  std::optional<outgoing_reply> output_;
  bool handling_ = false;  // whether the handler is being called
  timer_id peek_timer_ = 0;
  memory_share fixed_share_;
  memory_share input_share_;
  memory_share body_share_;
  memory_share reply_share_;
};

}  // namespace basilhoist
