// Interface for sending requests to backend servers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "basilhoist/backend/backend_reply.h"
#include "basilhoist/backend/listen_check.h"
#include "basilhoist/directory/server_directory.h"

namespace basilhoist {

/// A serialized request.
struct backend_request {
  /// Request line and headers, including the empty line at the end.
  std::string head;
  std::shared_ptr<const std::string> body;
  /// The reply to a HEAD request has no body, even if it has Content-Length.
  bool is_head_method = false;
  /// A reply that carries this header with a value other than echo_value
  /// belongs to another request: replies and requests on the connection are out
  /// of step, and the connection is closed.
  std::string echo_header;
  std::string echo_value;
};

using reply_handler = std::function<void(backend_reply)>;

/// Sends each request at most once; retries are left to the caller.
class request_sender {
 public:
  virtual ~request_sender() = default;

  /// Sends a request.
  /// @param server destination
  /// @param max_connections limit on connections to the server
  /// @param fresh whether to use a new connection instead of an idle one
  /// @param done called once, never from inside Send
  /// @return the request's id, or 0 if no connection is available
  virtual std::uint64_t Send(const listed_server& server,
                             unsigned max_connections, bool fresh,
                             backend_request request, reply_handler done) = 0;

  /// @return whether Send could use an idle connection or open a new one
  [[nodiscard]] virtual bool CanSend(const listed_server& server,
                                     unsigned max_connections) const = 0;

  /// Checks by connecting whether the server's process still listens; sends no
  /// request.
  /// @param done called once, never from inside
  ///   CheckListening
  virtual void CheckListening(const listed_server& server,
                              listen_check::handler done) = 0;

  /// Cancels a request by closing its connection; its handler is not called.
  virtual void Abandon(std::uint64_t id) = 0;
};

}  // namespace basilhoist
