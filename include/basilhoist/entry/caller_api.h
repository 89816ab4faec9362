// The HTTP interface for callers: requests in, answers out.
#pragma once

#include <memory>
#include <string>

#include "basilhoist/entry/entry_task.h"
#include "basilhoist/http/http_server.h"
#include "basilhoist/once/once_task.h"

namespace basilhoist {

/// Serves callers:
///   POST /v1/groups/GROUP/query         body: JSON
///   GET  /v1/groups/GROUP/records/KEY
///   POST /v1/groups/GROUP/once          body: JSON, X-Request-Id needed
/// Headers: X-Request-Id, X-Deadline-Ms.
class caller_api {
 public:
  /// @param instance names the instance in request ids that it makes
  caller_api(entry_task& entry, once_task& once, std::string instance);

  void Handle(const std::shared_ptr<http_exchange>& exchange);

  /// Refuses new requests from now on.
  void Stop() { stopped_ = true; }
  void Start() { stopped_ = false; }

  /// @return requests not replied to yet
  [[nodiscard]] std::size_t InFlight() const { return in_flight_; }

  /// Makes the reply for a fault that the HTTP server finds.
  static http_reply RefuseHttp(int status, std::string_view text);

 private:
  void RunRequest(const caller_request& request,
                  const std::shared_ptr<http_exchange>& exchange);
  void RunOnce(const caller_request& request,
               const std::shared_ptr<http_exchange>& exchange);

  entry_task& entry_;
  once_task& once_;
  std::string instance_;
  bool stopped_ = true;
  std::uint64_t last_request_ = 0;
  std::size_t in_flight_ = 0;
};

/// @return the answer as callers get it
std::string FormatAnswer(const query_answer& answer,
                         const std::string& request_id);

}  // namespace basilhoist
