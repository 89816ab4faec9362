// What sends requests to backend servers, as its users see it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "basilhoist/backend/backend_reply.h"
#include "basilhoist/backend/listen_check.h"
#include "basilhoist/directory/server_directory.h"

namespace basilhoist {

/// A request in its bytes.
struct backend_request {
  /// Request line and headers with the empty line.
  std::string head;
  std::shared_ptr<const std::string> body;
  /// The reply to a HEAD request has no body, whatever its length says.
  bool is_head_method = false;
  /// A reply that carries this header with another value belongs to another
  /// request: the connection is not in step any more.
  std::string echo_header;
  std::string echo_value;
};

using reply_handler = std::function<void(backend_reply)>;

/// Sends each request once at most.
class request_sender {
 public:
  virtual ~request_sender() = default;

  /// @param server where to
  /// @param most connections to the server at most
  /// @param fresh uses no connection that has been idle
  /// @param done called once, never from inside Send
  /// @return the request's id, or 0 where no connection is to be had
  virtual std::uint64_t Send(const listed_server& server, unsigned most,
                             bool fresh, backend_request request,
                             reply_handler done) = 0;

  /// @return whether Send would find or open a connection
  [[nodiscard]] virtual bool CanSend(const listed_server& server,
                                     unsigned most) const = 0;

  /// Finds out whether the server's process still listens; sends nothing.
  /// @param done called once, never from inside Check
  virtual void CheckListening(const listed_server& server,
                              listen_check::handler done) = 0;

  /// Closes the request's connection; its handler does not run.
  virtual void Abandon(std::uint64_t id) = 0;
};

}  // namespace basilhoist
