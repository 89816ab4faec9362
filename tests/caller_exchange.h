// A caller's request that a test makes and whose answer it reads.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "basilhoist/backend/backend_reply.h"
#include "basilhoist/http/http_exchange.h"

namespace basilhoist::test {

/// A request of a caller that waits a second.
class caller_exchange : public http_exchange {
 public:
  caller_exchange(std::string method, std::string target, std::string id)
      : method_(std::move(method)),
        target_(std::move(target)),
        headers_({{"Host", "h"}, {"X-Id", std::move(id)}, {"X-Left", "1000"}}) {
  }
  const std::string& Method() const override { return method_; }
  const std::string& Path() const override { return target_; }
  const std::string& Target() const override { return target_; }
  const std::string& Body() const override { return body_; }
  std::string Header(const char* name) const override {
    for (const http_header& header : headers_) {
      if (SameHeader(header.name, name)) return header.value;
    }
    return {};
  }
  std::vector<http_header> Headers() const override { return headers_; }
  std::string Argument(const char*) const override { return {}; }
  std::string PeerAddress() const override { return {}; }
  bool FirstOnConnection() const override { return true; }
  void OnCallerClosed(std::function<void()> callback) override {
    close = std::move(callback);
  }
  void Reply(http_reply reply) override { answer = std::move(reply); }

  /// Replaces the value of a header or adds the header.
  void SetHeader(const std::string& name, const std::string& value) {
    std::erase_if(headers_, [&name](const http_header& header) {
      return SameHeader(header.name, name);
    });
    headers_.push_back({.name = name, .value = value});
  }

  std::optional<http_reply> answer;
  std::function<void()> close;

 private:
  std::string method_;
  std::string target_;
  std::string body_;
  std::vector<http_header> headers_;
};

}  // namespace basilhoist::test
