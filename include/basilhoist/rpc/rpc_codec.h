// JSON-RPC 2.0 between an instance and the operators' tool. The message layer
// is libjsonrpccpp's; the transport is HTTP in the event loop.
//
// This header must stay valid C++14: see CMakeLists.txt.
#pragma once

#include <memory>
#include <string>

namespace basilhoist {

/// What an instance answers over JSON-RPC. Results are JSON texts.
class rpc_handler {
 public:
  virtual ~rpc_handler() = default;

  /// @return the instance's health in brief
  virtual std::string Status() = 0;

  /// @return the state of every part of the process
  virtual std::string Dump() = 0;

  /// Takes a document that the store has accepted.
  /// @param text {"name": NAME, "content": TEXT}
  /// @return whether it was newer than the one held
  virtual bool OfferDocument(const std::string& text) = 0;
};

/// Turns request texts into calls of a handler.
class rpc_server {
 public:
  explicit rpc_server(rpc_handler& handler);
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  /// @param request a JSON-RPC request
  /// @return the JSON-RPC response, an error response for a bad request
  std::string Handle(const std::string& request);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// What came back from a call.
struct rpc_result {
  bool ok = false;
  std::string value;  ///< JSON, when ok.
  std::string error;  ///< A sentence, when not.
};

/// @param parameter the value of the method's one parameter; may be empty
/// @return the text of a JSON-RPC request
std::string MakeRpcRequest(const std::string& method,
                           const std::string& parameter);

/// @return what a JSON-RPC response holds
rpc_result ReadRpcResponse(const std::string& response);

}  // namespace basilhoist
