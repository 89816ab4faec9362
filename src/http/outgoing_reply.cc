#include "outgoing_reply.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {

outgoing_reply::outgoing_reply(http_reply reply, const reply_context& context,
                               std::string target, bool is_head_request)
    : head_(ReplyHead(reply, context)),
      body_(std::move(reply.body)),
      has_body_(!is_head_request && MayHaveBody(reply.status)),
      target_(std::move(target)),
      status_(reply.status),
      headers_(reply.headers.size()) {}

ssize_t outgoing_reply::Send(int fd) {
  const std::size_t head_sent = std::min(sent_, head_.size());
  const std::size_t body_sent = sent_ - head_sent;
  std::array<iovec, 2> parts = {
      iovec{head_.data() + head_sent, head_.size() - head_sent},
      iovec{body_.data() + body_sent, BodySize() - body_sent}};
  const msghdr message{.msg_iov = parts.data(), .msg_iovlen = parts.size()};
  const ssize_t sent = sendmsg(fd, &message, MSG_NOSIGNAL);
  if (sent > 0) sent_ += static_cast<std::size_t>(sent);
  return sent;
}

void outgoing_reply::LogLost() const {
  event_line("http", "reply_lost")
      .With("target", target_)
      .With("status", status_)
      .With("headers", headers_)
      .With("body_bytes", body_.size());
}

}  // namespace basilhoist
