#include "basilhoist/rpc/rpc_codec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <sstream>

namespace basilhoist {
namespace {

constexpr const char* kParameter = "value";

Json::Value ParseJson(const std::string& text) {
  Json::Value value;
  std::istringstream stream(text);
  std::string errors;
  Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &errors);
  return value;
}

std::string FormatJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

// The library hands over requests through a connector. Ours takes a text and
// keeps the response for the one call that is being handled.
class text_connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void*) override {
    last = response;
    return true;
  }

  std::string last;
};

class method_table : public jsonrpc::AbstractServer<method_table> {
 public:
  method_table(text_connector& connector, rpc_handler& handler)
      : AbstractServer(connector), handler_(handler) {
    using jsonrpc::PARAMS_BY_NAME;
    using jsonrpc::Procedure;
    bindAndAddMethod(
        Procedure("status", PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
        &method_table::Status);
    bindAndAddMethod(
        Procedure("dump", PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
        &method_table::Dump);
    bindAndAddMethod(Procedure("offer", PARAMS_BY_NAME, jsonrpc::JSON_BOOLEAN,
                               kParameter, jsonrpc::JSON_STRING, nullptr),
                     &method_table::Offer);
  }

 private:
  void Status(const Json::Value&, Json::Value& result) {
    result = ParseJson(handler_.Status());
  }
  void Dump(const Json::Value&, Json::Value& result) {
    result = ParseJson(handler_.Dump());
  }

  void Offer(const Json::Value& parameters, Json::Value& result) {
    result = handler_.OfferDocument(parameters[kParameter].asString());
  }

  rpc_handler& handler_;
};

}  // namespace

struct rpc_server::state {
  explicit state(rpc_handler& handler) : methods(connector, handler) {}

  text_connector connector;
  method_table methods;
};

rpc_server::rpc_server(rpc_handler& handler)
    : state_(std::make_unique<state>(handler)) {}

rpc_server::~rpc_server() = default;

std::string rpc_server::Handle(const std::string& request) {
  state_->connector.last.clear();
  state_->connector.OnRequest(request);
  return state_->connector.last;
}

std::string MakeRpcRequest(const std::string& method,
                           const std::string& parameter) {
  Json::Value request;
  request["jsonrpc"] = "2.0";
  request["id"] = 1;
  request["method"] = method;
  if (!parameter.empty()) request["params"][kParameter] = parameter;
  return FormatJson(request);
}

rpc_result ReadRpcResponse(const std::string& response) {
  const Json::Value value = ParseJson(response);
  rpc_result result;
  if (!value.isObject() || !value.isMember("result")) {
    result.error = value.isObject() && value.isMember("error")
                       ? value["error"]["message"].asString()
                       : "the response is not JSON-RPC";
    return result;
  }
  result.ok = true;
  result.value = FormatJson(value["result"]);
  return result;
}

}  // namespace basilhoist
