// What all requests of an instance share when they send to servers.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <string>

#include "basilhoist/backend/request_sender.h"
#include "basilhoist/directory/server_directory.h"
#include "basilhoist/dispatch/cold_start_limiter.h"
#include "basilhoist/dispatch/crash_confirmer.h"
#include "basilhoist/dispatch/crash_guard.h"
#include "basilhoist/dispatch/header_names.h"
#include "basilhoist/dispatch/retry_budget.h"
#include "basilhoist/dispatch/retry_time_planner.h"
#include "basilhoist/dispatch/send_block.h"
#include "basilhoist/dispatch/server_notices.h"
#include "basilhoist/dispatch/server_stats.h"
#include "basilhoist/loop/event_loop.h"
#include "basilhoist/route/latency_window.h"
#include "basilhoist/routing/routing_table.h"

namespace basilhoist {

class relay_client;

/// How a dispatcher is set up.
struct dispatch_options {
  header_names names;
  retry_budget_options retry;
  std::string failure_domain;
  double cpu_cores = 1;  ///< Cores that the process may use.
  std::uint64_t seed = 1;
};

/// TypicalLatency reply times of a route.
class route_latency {
 public:
  /// A reply to a first send took this long.
  void Add(microseconds took) { window_.Add(took); }

  /// @param objective of the route, for a first guess
  [[nodiscard]] microseconds TypicalLatency(microseconds objective) const;

  /// @param left time until the answer must be on its way
  /// @param pressure used share of the retry budget, 0 to 1
  /// @return how long a first send is waited for before a second one
  [[nodiscard]] microseconds HedgeDelay(microseconds objective,
                                        microseconds left,
                                        double pressure) const;

 private:
  // Three of four replies are in by then; slow and paused servers stay out of
  // this figure unless they are the rule.
  static constexpr double kQuantile = 0.75;
  latency_window window_{kQuantile};
};

/// Counters for metrics.
struct dispatch_counts {
  std::uint64_t sends = 0;
  std::uint64_t hedged_sends = 0;
  std::uint64_t retries = 0;
  std::uint64_t budget_refusals = 0;
  /// Connections that broke while a server ran a request.
  std::uint64_t broken_in_flight = 0;
  /// Servers that are known to have ended while they ran a request.
  std::uint64_t crashes_confirmed = 0;
  /// Sends that were not made because the request crashes servers.
  std::uint64_t contained = 0;
  /// Servers passed over, by the bar that kept a send from them.
  std::array<std::uint64_t, kSendBlockCount> blocked{};
};

/// Shared state of sends; requests come and go.
struct dispatcher {
  dispatcher(event_loop& the_loop, request_sender& the_sender,
             const server_directory& the_directory,
             dispatch_options the_options)
      : loop(the_loop),
        sender(the_sender),
        directory(the_directory),
        options(std::move(the_options)),
        random(options.seed),
        confirmer(the_loop, the_sender, [this](const listed_server& server) {
          OnServerTerminated(server, "refused");
        }) {}

  /// @return the service's settings in the newest table, or defaults
  [[nodiscard]] service_settings SettingsOf(const std::string& service) const;

  /// @return what extra sends are allowed now
  [[nodiscard]] retry_budget_options RetryLimits(instant now) const;

  /// @return where the servers of a shard stand that may be used now
  [[nodiscard]] std::set<std::string> UsableDomains(const std::string& service,
                                                    instant now) const;

  /// The one place that decides whether a server may be sent to now.
  /// @param connections that this instance may have to it
  [[nodiscard]] send_decision Evaluate(const listed_server& server,
                                       unsigned connections, instant now) const;

  /// @return whether the server is cold and has had its part for now
  [[nodiscard]] bool ExceedsColdLimit(const listed_server& server,
                                      instant now) const;

  /// @return when a refused caller should come back
  /// @param earliest when the service can take requests again, as far as known
  microseconds PlanRetryAfter(const std::string& service,
                              const std::string& route, const retry_rank& rank,
                              microseconds objective, instant earliest);

  /// Takes what a reply says of its server.
  void RecordNotices(const listed_server& server, const backend_reply& reply,
                     const std::string& request_id, instant now);

  /// A send to the server has ended; keeps what it tells of the server.
  void OnSendEnd(const listed_server_ptr& server, const lost_send& send,
                 const backend_reply& reply, instant now);

  /// A server's run has ended without having been asked to.
  /// @param proof how that is known, for logs
  void OnServerTerminated(const listed_server& server, std::string_view proof);

  /// A run has left the list of servers. One that said that it leaves has ended
  /// as planned; any other end counts against the requests that it had.
  void OnServerRemoved(const listed_server& server);

  /// Peers, or the store, have told of requests that crash servers.
  void OnSuspectReports(const std::vector<suspect_report>& reports);

  /// Passes on what has changed.
  /// @param source a server, or who told of it, for logs
  void PublishCrashUpdate(const crash_update& news, std::string_view source);

  /// @return connections that this instance may have to one server
  [[nodiscard]] unsigned MaxConnections(const std::string& service) const;

  event_loop& loop;
  request_sender& sender;
  const server_directory& directory;
  dispatch_options options;
  pcg32 random;
  routing_table_ptr table;
  /// Takes batches of shards; null where there is none.
  relay_client* relays = nullptr;
  std::size_t instance_count = 1;
  /// Of this instance in what all of them share, 0 to 1.
  double instance_share = 1;
  instant started = Now();
  /// @return the place of this instance in the order of a key's instances
  std::function<std::size_t(std::uint64_t)> instance_rank = [](std::uint64_t) {
    return std::size_t{0};
  };
  server_stats stats;
  cold_start_limiter cold;
  server_notices notices;
  retry_time_planner comebacks;
  crash_guard crashes;
  crash_confirmer confirmer;
  /// Peers should hear now what crashes.NextReports tells.
  std::function<void()> on_crash_update = [] {};
  /// A request is refused from now on, as this instance found by itself or by
  /// adding up what others told.
  std::function<void(std::uint64_t)> on_request_contained = [](std::uint64_t) {
  };
  std::map<std::string, retry_budget> budgets;
  std::map<std::string, route_latency> route_latencies;
  dispatch_counts counts;
};

}  // namespace basilhoist
