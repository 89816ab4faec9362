// Explains where a request would go now, and why, without sending it.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "basilhoist/explain/explain_request.h"
#include "basilhoist/router/request_handler.h"

namespace basilhoist {

/// Makes the decisions of a request_handler for a described request, with the
/// same functions. Counts nothing, spends no limit, budget or canary share, and
/// keeps nothing of the request.
class request_explainer {
 public:
  /// Servers of one service that are listed at most.
  static constexpr std::size_t kMaxServers = 64;
  /// Servers of all shards that are listed at most, and at least one for each.
  /// Requests wait while an answer is written.
  static constexpr std::size_t kMaxAllServers = 1024;

  request_explainer(const request_handler& handler, const usage_exchange& usage)
      : handler_(handler), dispatcher_(handler.dispatcher_), usage_(usage) {}

  [[nodiscard]] nlohmann::ordered_json Explain(const explain_request& request,
                                               instant now) const;

 private:
  struct outcome;

  void CheckAll(outcome& result, const explain_request& request) const;
  void CheckHead(outcome& result) const;
  void CheckKey(outcome& result) const;
  void CheckCrashes(outcome& result) const;
  void CheckUsage(outcome& result) const;
  void CheckShutdown(outcome& result) const;
  void CheckAdmission(outcome& result) const;
  void CheckCoverage(outcome& result) const;
  void ListServices(outcome& result) const;
  void ListShards(outcome& result) const;
  [[nodiscard]] nlohmann::ordered_json ServersOf(const std::string& service,
                                                 std::size_t max,
                                                 instant now) const;

  const request_handler& handler_;
  const dispatcher& dispatcher_;
  const usage_exchange& usage_;
};

}  // namespace basilhoist
