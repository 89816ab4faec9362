// An HTTP request received by the server, and the reply to it.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basilhoist {

/// A header field of a request or reply.
struct http_header {
  std::string name;
  std::string value;
};

/// A reply to a request.
struct http_reply {
  int status = 200;
  std::string content_type =
      "application/json";  ///< If empty, no Content-Type is sent.
  std::string body;
  std::vector<http_header> headers;
};

/// A request and its connection to the caller. It gets one reply, either from
/// inside the handler or later.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual const std::string& Method() const = 0;
  /// @return the path, percent-decoded and without the query
  [[nodiscard]] virtual const std::string& Path() const = 0;
  /// @return path and query exactly as received, without decoding
  [[nodiscard]] virtual const std::string& Target() const = 0;
  [[nodiscard]] virtual const std::string& Body() const = 0;
  /// @return the body, to be kept beyond the request without a copy
  [[nodiscard]] virtual std::shared_ptr<const std::string> SharedBody() const {
    return std::make_shared<const std::string>(Body());
  }

  /// @return the value of the request header; empty if there is none
  [[nodiscard]] virtual std::string Header(const char* name) const = 0;

  /// @return all request headers, in the order in which they were received
  [[nodiscard]] virtual std::vector<http_header> Headers() const = 0;

  /// @return the size of the head as received; 0 if it is not known
  [[nodiscard]] virtual std::size_t HeadBytes() const { return 0; }

  /// @return the value of the query argument; empty if there is none
  [[nodiscard]] virtual std::string Argument(const char* name) const = 0;

  /// @return the caller's IP address
  [[nodiscard]] virtual std::string PeerAddress() const = 0;

  /// @return whether this is the first request on its connection
  [[nodiscard]] virtual bool FirstOnConnection() const = 0;

  /// Sets a function that is called once if the caller closes the connection
  /// before the reply is sent.
  virtual void OnCallerClosed(std::function<void()> callback) = 0;

  /// Sends the reply. Further replies to the same request are ignored.
  virtual void Reply(http_reply reply) = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

}  // namespace basilhoist
