// Stand-in for one backend server, on an address and port of its own.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/http/http_server.h"
#include "basilhoist/settings/site_settings.h"
#include "service_time.h"

namespace basilhoist::standin {

/// How a server behaves; all of it can be changed while it runs.
struct played_faults {
  double slow_factor = 1.0;
  bool draining = false;
  bool drop_replies = false;   ///< Runs requests but never answers.
  bool cross_replies = false;  ///< Echoes another request's id now and then.
  std::uint64_t oldest_version = 1;
  std::uint64_t newest_version = 1;
};

/// One request as the server saw it.
struct run_record {
  std::string server;
  std::string request_id;  ///< Without the attempt.
  std::string shard;
  std::uint64_t version = 0;
  std::int64_t at_us = 0;
  bool once = false;
  std::string outcome;  ///< running, done, cancelled, expired, died, ...
};

/// What a server counts.
struct played_counters {
  std::uint64_t arrivals = 0;
  std::uint64_t runs = 0;
  std::uint64_t shed = 0;
  std::uint64_t crashes = 0;
  std::uint32_t most_in_flight = 0;
  std::uint32_t most_over_slots = 0;   ///< In flight beyond its slots.
  std::uint32_t most_over_window = 0;  ///< Beyond what it bore when cold.
  std::uint32_t most_connections = 0;
  std::int64_t last_run_us = 0;
};

/// Plays slots, connections, cold starts, shedding, draining, versions.
class played_server {
 public:
  struct options {
    server_entry entry;
    service_time_options times;
    microseconds cross_domain_delay{0};
    milliseconds restart_time{300};
    bool keep_records = true;
  };

  played_server(event_loop& loop, options how);

  /// Dies: connections break, requests in flight are gone, and after the
  /// restart time it is back, cold.
  void Crash();

  /// Turns cold without a restart or any other sign.
  void TurnCold();

  played_faults& Faults() { return faults_; }
  [[nodiscard]] const played_counters& Counters() const { return counters_; }
  [[nodiscard]] const std::vector<run_record>& Records() const {
    return records_;
  }
  [[nodiscard]] const server_entry& Entry() const { return how_.entry; }
  [[nodiscard]] bool Listening() const {
    return server_ && server_->Listening();
  }
  void ClearCounters();

 private:
  using exchange_ptr = std::shared_ptr<http_exchange>;
  struct running {
    exchange_ptr exchange;
    std::string base_id;
    std::string shard;
    std::uint64_t version = 0;
    timer_id timer = 0;
    std::size_t record = 0;
  };

  void Listen();
  void OnRequest(const exchange_ptr& exchange);
  void OnRun(const exchange_ptr& exchange);
  void OnCancel(const exchange_ptr& exchange, const std::string& id);
  void Begin(const exchange_ptr& exchange, const std::string& id);
  void End(const std::string& id, int status, const std::string& outcome);
  void Refuse(const exchange_ptr& exchange, int status);
  void Respond(const exchange_ptr& exchange, http_reply reply);
  void CountInFlight();
  [[nodiscard]] std::uint32_t Bears() const;
  [[nodiscard]] microseconds Distance(const http_exchange& exchange) const;
  [[nodiscard]] http_reply MakeReply(const http_exchange& exchange,
                                     int status) const;

  event_loop& loop_;
  options how_;
  played_faults faults_;
  played_counters counters_;
  std::vector<run_record> records_;
  std::map<std::string, running> running_;
  std::unique_ptr<http_server> server_;
  std::uint32_t starts_ = 0;
  std::uint32_t successes_ = 0;
  bool cold_ = false;
};

}  // namespace basilhoist::standin
