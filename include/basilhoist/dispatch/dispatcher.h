// State that all requests of an instance share for sending to backend servers.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <string>

#include "basilhoist/admission/admission_state.h"
#include "basilhoist/backend/request_sender.h"
#include "basilhoist/directory/server_directory.h"
#include "basilhoist/dispatch/announcement_recorder.h"
#include "basilhoist/dispatch/coverage_outlook.h"
#include "basilhoist/dispatch/crash_confirmer.h"
#include "basilhoist/dispatch/crash_guard.h"
#include "basilhoist/dispatch/header_names.h"
#include "basilhoist/dispatch/isolation_monitor.h"
#include "basilhoist/dispatch/rank_cache.h"
#include "basilhoist/dispatch/replica_choice.h"
#include "basilhoist/dispatch/reply_check.h"
#include "basilhoist/dispatch/retry_budget.h"
#include "basilhoist/dispatch/retry_time_planner.h"
#include "basilhoist/dispatch/route_latency.h"
#include "basilhoist/dispatch/send_block.h"
#include "basilhoist/dispatch/server_health_reports.h"
#include "basilhoist/dispatch/server_notices.h"
#include "basilhoist/dispatch/server_rate_limits.h"
#include "basilhoist/dispatch/server_stats.h"
#include "basilhoist/dispatch/shared_rate_limiter.h"
#include "basilhoist/loop/event_loop.h"
#include "basilhoist/pace/pace_controller.h"
#include "basilhoist/rollout/rollout_controller.h"
#include "basilhoist/routing/routing_table.h"

namespace basilhoist {

class relay_client;
class handover_client;

/// Options of a dispatcher.
struct dispatch_options {
  header_names names;
  retry_budget_options retry;
  std::string failure_domain;
  double cpu_cores = 1;  ///< Cores that the process may use.
  std::uint64_t seed = 1;
};

/// Counters for metrics.
struct dispatch_counts {
  std::uint64_t sends = 0;
  std::uint64_t hedged_sends = 0;
  std::uint64_t retries = 0;
  std::uint64_t budget_refusals = 0;
  /// Sends that a server rejected for lack of capacity; they have not run.
  std::uint64_t rejected_sends = 0;
  /// Single requests that were refused because all servers reject requests.
  std::uint64_t rejected_calls = 0;
  /// Hedged sends that waited because the server replied to other requests.
  std::uint64_t hedges_deferred = 0;
  /// Hedged sends that were not made because the other server is stalled too.
  std::uint64_t hedges_withheld = 0;
  /// Connections that broke with a request in flight.
  std::uint64_t broken_in_flight = 0;
  /// Servers that were confirmed to have crashed with a request in flight.
  std::uint64_t crashes_confirmed = 0;
  /// First sends to servers that advertise a rate limit.
  std::uint64_t limited_first_sends = 0;
  /// Hedged sends and retries to servers that advertise a rate limit.
  std::uint64_t limited_extra_sends = 0;
  /// Sends that were suppressed because the request crashes servers.
  std::uint64_t contained = 0;
  /// Sends that were suppressed because the caller's API key has been removed.
  std::uint64_t revoked = 0;
  /// Servers that were skipped in the choice for a send, by send_block.
  std::array<std::uint64_t, kSendBlockCount> blocked{};
};

/// Shared state of all requests in progress.
struct dispatcher {
  dispatcher(event_loop& the_loop, request_sender& the_sender,
             const server_directory& the_directory,
             dispatch_options the_options)
      : loop(the_loop),
        sender(the_sender),
        directory(the_directory),
        options(std::move(the_options)),
        random(options.seed),
        admission(options.seed),
        isolation(the_loop, the_sender, the_directory, options.seed,
                  {.on_change = [](bool) {},
                   .on_terminated =
                       [this](const listed_server& server) {
                         OnServerTerminated(server, "refused");
                       }}),
        confirmer(the_loop, the_sender,
                  [this](const listed_server_ptr& server) {
                    isolation.OnRefused(server);
                  }),
        pace(the_directory, stats, options.seed,
             [this](const std::string& service) {
               return SettingsOf(service).warmup;
             }) {}

  /// @return the service's settings in the newest routing table, or defaults
  [[nodiscard]] service_settings SettingsOf(const std::string& service) const;

  /// @return the limits on extra sends that apply now; their fixed part grows
  ///   during the first window after a start
  [[nodiscard]] retry_budget_options RetryLimits(instant now) const;

  /// @return this instance's share of the fixed part of the retry budget of a
  ///   service: by where its sends are made
  [[nodiscard]] double RetryShare(const std::string& service) const {
    return table && table->IsShardOnly(service) ? relay_share : instance_share;
  }

  /// @return failure domains with a server of the service that accepts requests
  ///   now or shortly
  [[nodiscard]] std::set<std::string> UsableDomains(const std::string& service,
                                                    instant now) const;

  /// Decides whether a request may be sent to the server now. Every send is
  /// checked here.
  /// @param connections limit on this instance's connections to the server
  [[nodiscard]] send_decision Evaluate(const listed_server& server,
                                       unsigned connections, instant now) const;

  /// @return what the choice of a replica considers of the server
  [[nodiscard]] replica_candidate CandidateFor(const listed_server& server,
                                               instant now) const;

  /// @return the rate that a server in its cold start accepts; without a limit
  ///   if it is in none, or its service sets none
  [[nodiscard]] shared_rate ColdStartRate(const listed_server& server,
                                          instant now) const;

  /// @return the rate that the server advertises; without a limit if it
  ///   advertises none
  [[nodiscard]] shared_rate AdvertisedRate(const listed_server& server,
                                           instant now) const;

  /// @return when the server may get its next request from this instance; a
  ///   time in the past if it may now
  [[nodiscard]] instant RateLimitedUntil(const listed_server& server,
                                         instant now) const;

  /// Called when a request is sent to the server. Counts it against the limits
  /// that Evaluate checks.
  /// @param extra whether it is a hedged send or a retry
  void OnSent(const listed_server& server, bool extra, instant now);

  /// Applies a rate limit that kept a relay from sending.
  void OnRelayedLimit(const rate_limit_report& limit, instant now) {
    announcements.OnRelayedLimit(limit, now);
  }

  /// @return requests per second that the servers of a service can handle
  [[nodiscard]] double CapacityOf(const std::string& service,
                                  microseconds typical_latency,
                                  instant now) const;

  /// @return what the rate limits of servers leave of the shards of a request
  [[nodiscard]] coverage_outlook OutlookFor(
      const std::vector<std::string>& shards, instant now) const;

  /// Decides whether a fan-out request is sent. Requests that only other
  /// instances may serve are tried no more often, by all instances together,
  /// than the servers of the most limited shard accept.
  bool AdmitFanOut(const coverage_outlook& outlook, double min_coverage,
                   instant now);

  /// @param earliest when the service is expected to accept requests again
  /// @return the delay after which a refused caller should retry
  microseconds PlanRetryAfter(const std::string& service,
                              const std::string& route, const retry_rank& rank,
                              microseconds objective, instant earliest);

  /// Records what a reply announces about its server: shutdown, pause and rate
  /// limit.
  /// @param sent_at when the request was sent
  void RecordNotices(const listed_server& server, const backend_reply& reply,
                     const std::string& request_id, instant sent_at,
                     instant now) {
    announcements.OnReply(server, reply, request_id, sent_at, now);
  }

  /// Called when a send has ended. Updates the server's cold-start state and,
  /// if the exchange failed, its crash state.
  void OnSendEnd(const listed_server_ptr& server, const lost_send& send,
                 const backend_reply& reply, instant now);

  /// @return whether the server's version keeps this request from it
  [[nodiscard]] bool IsVersionHeld(const listed_server& server,
                                   instant now) const;

  /// @return whether the server's version is in general use
  [[nodiscard]] bool MayUseVersion(const listed_server& server) const {
    return rollouts == nullptr ||
           rollouts->PermitOf(server, Now()) == version_permit::kAllowed;
  }

  /// @return a server that should get the first send of a request, so that its
  ///   version can be judged; null if there is none
  [[nodiscard]] listed_server_ptr ServerToJudge(const std::string& service,
                                                unsigned connections,
                                                instant now) const;

  /// Counts the result of a send for the judgement of the server's version.
  /// @param route hash of the route's name
  void RecordVersionResult(const listed_server& server, send_outcome outcome,
                           const backend_reply& reply, std::uint64_t route,
                           instant sent_at);

  /// As RecordVersionResult, for a send that is abandoned without a reply.
  void RecordUnanswered(const listed_server& server, std::uint64_t route,
                        instant sent_at);

  /// Called when a send has ended, before OnSendEnd.
  /// @param stats_key identifies the send in the statistics
  void RecordResult(const listed_server& server, std::uint64_t stats_key,
                    const ended_send& send, instant now);

  /// Called when an incarnation of a server is known to have terminated without
  /// a planned shutdown. Attributes the crash to requests in flight there.
  /// @param proof how the termination was detected, for logs
  void OnServerTerminated(const listed_server& server, std::string_view proof);

  /// Called when an incarnation was removed from the directory. If it did not
  /// announce its shutdown, the removal counts as a crash.
  void OnServerRemoved(const listed_server& server);

  /// Merges reports from peers or from the store about requests that crash
  /// servers.
  void OnSuspectReports(const std::vector<suspect_report>& reports);

  /// Logs an update of the crash state and notifies the handlers below.
  /// @param source the server that crashed, or who reported it, for logs
  void PublishCrashUpdate(const crash_update& update, std::string_view source);

  /// @return the limit on this instance's connections to one server
  [[nodiscard]] unsigned MaxConnections(const std::string& service) const;

  event_loop& loop;
  request_sender& sender;
  const server_directory& directory;
  dispatch_options options;
  pcg32 random;
  admission_state admission;
  routing_table_ptr table;
  /// Sends batches of shards to relays; null if relaying is off.
  relay_client* relays = nullptr;
  /// Versions of servers; null if they are not distinguished.
  rollout_controller* rollouts = nullptr;
  /// Hands requests over to peers while this instance is isolated; null if it
  /// cannot.
  handover_client* handovers = nullptr;
  std::size_t instance_count = 1;
  /// This instance's share of the limits that all instances share, 0 to 1.
  double instance_share = 1;
  /// As instance_share, for limits on sends that relays make mostly.
  double relay_share = 1;
  instant started = Now();
  /// @return the rank of this instance, from 0, in the order of instances for a
  ///   key; takes time that grows with the number of instances
  std::function<std::size_t(std::uint64_t)> instance_rank = [](std::uint64_t) {
    return std::size_t{0};
  };
  /// As instance_rank, but the instances of a failure domain rank first.
  std::function<std::size_t(std::uint64_t, const std::string&)>
      instance_rank_in =
          [](std::uint64_t, const std::string&) { return std::size_t{0}; };
  server_stats stats;
  server_health_reports peer_reports;
  shared_rate_limiter cold_starts;
  server_notices notices;
  server_rate_limits rate_limits;
  shared_rate_limiter limited_sends;
  shared_rate_limiter limited_tries;  // by hash of the most limited shard
  retry_time_planner retry_times;
  crash_guard crashes;
  /// Whether this instance reaches the servers at all.
  isolation_monitor isolation;
  crash_confirmer confirmer;
  /// Limits what servers that start or recover get.
  pace_controller pace;
  /// Records what servers announce in their replies.
  announcement_recorder announcements{
      options.names, {notices, rate_limits, limited_sends, pace}};
  /// Called when crashes.NextReports() should be sent to peers at once.
  std::function<void()> on_crash_update = [] {};
  /// Called with the fingerprint of a request that is refused from now on, if
  /// this instance detected it itself or by adding up the reports of peers.
  std::function<void(std::uint64_t)> on_request_contained = [](std::uint64_t) {
  };
  rank_cache cold_ranks;
  rank_cache limited_ranks;
  std::map<std::string, retry_budget> budgets;
  std::map<std::string, route_latency> route_latencies;
  dispatch_counts counts;
};

}  // namespace basilhoist
