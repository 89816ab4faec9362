// Reports what clients and peers use of a router, and who gave way.
#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "basilhoist/http/http_server.h"
#include "basilhoist/memory/memory_budget.h"
#include "basilhoist/relay/relay_links.h"

namespace basilhoist {

/// A listener by name.
struct named_server {
  std::string name;
  const http_server* server = nullptr;
};

/// Counts by listener and reason, for logs, metrics and the dump.
class client_monitor {
 public:
  /// Interval at which clients that gave way are logged. A line for each would
  /// displace all other lines while a crowd is refused.
  static constexpr milliseconds kLogInterval{1000};

  client_monitor(event_loop& loop, memory_budget_ptr memory,
                 std::vector<named_server> servers, const relay_links& links);

  [[nodiscard]] nlohmann::ordered_json Dump() const;
  [[nodiscard]] std::vector<prometheus::MetricFamily> Metrics() const;

 private:
  void LogChanges();

  memory_budget_ptr memory_;
  std::vector<named_server> servers_;
  const relay_links& links_;
  std::uint64_t logged_gave_way_ = 0;
  std::uint64_t logged_refused_ = 0;
  std::vector<std::uint64_t> logged_over_limit_;  // by server
};

}  // namespace basilhoist
