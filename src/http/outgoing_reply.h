// A reply that is being sent to a caller. Only the server's own sources include
// this file.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

#include "basilhoist/http/http_exchange.h"
#include "reply_head.h"

namespace basilhoist {

/// The bytes of a reply, and how many of them were sent.
class outgoing_reply {
 public:
  /// @param target of the request, for logs
  /// @param is_head_request whether only the head is sent
  outgoing_reply(http_reply reply, const reply_context& context,
                 std::string target, bool is_head_request);

  /// Sends what the operating system takes at once.
  /// @return as the system call
  ssize_t Send(int fd);

  [[nodiscard]] bool Done() const { return sent_ == head_.size() + BodySize(); }

  /// @return the memory of the reply
  [[nodiscard]] std::size_t Bytes() const {
    return head_.capacity() + body_.capacity();
  }

  /// Logs that the reply did not reach the caller.
  void LogLost() const;

 private:
  [[nodiscard]] std::size_t BodySize() const {
    return has_body_ ? body_.size() : 0;
  }

  std::string head_;
  std::string body_;
  bool has_body_;
  std::size_t sent_ = 0;
  // For logs.
  std::string target_;
  int status_;
  std::size_t headers_;
};

}  // namespace basilhoist
