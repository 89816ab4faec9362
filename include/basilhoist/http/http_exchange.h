// One HTTP request of a caller, and the reply to it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basilhoist {

/// One header of a request or reply.
struct http_header {
  std::string name;
  std::string value;
};

/// A reply to one request.
struct http_reply {
  int status = 200;
  std::string content_type = "application/json";  ///< Empty sends none.
  std::string body;
  std::vector<http_header> headers;
};

/// One request, which is replied to once, at once or later.
class http_exchange {
 public:
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual const std::string& Method() const = 0;
  /// @return the path, percent-decoded and without the query
  [[nodiscard]] virtual const std::string& Path() const = 0;
  /// @return path and query as they came, byte for byte
  [[nodiscard]] virtual const std::string& Target() const = 0;
  [[nodiscard]] virtual const std::string& Body() const = 0;

  /// @return the header's value, or empty
  [[nodiscard]] virtual std::string Header(const char* name) const = 0;

  /// @return all headers in the order in which they came
  [[nodiscard]] virtual std::vector<http_header> Headers() const = 0;

  /// @return the query argument's value, or empty
  [[nodiscard]] virtual std::string Argument(const char* name) const = 0;

  /// @return the caller's IP number
  [[nodiscard]] virtual std::string PeerAddress() const = 0;

  /// @return whether this is the first request on its connection
  [[nodiscard]] virtual bool FirstOnConnection() const = 0;

  /// Calls a function once if the caller closes before the reply was sent.
  virtual void OnGone(std::function<void()> gone) = 0;

  /// Sends the reply; a second reply to one request is dropped.
  virtual void Reply(http_reply reply) = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

}  // namespace basilhoist
