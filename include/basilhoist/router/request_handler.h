// Handles callers' requests: validates and routes each one and follows it until
// it is answered.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "basilhoist/dispatch/active_request.h"
#include "basilhoist/usage/usage_exchange.h"
#include "basilhoist/workspace/authorization.h"

namespace basilhoist {

/// Counters of callers' requests, for metrics.
struct request_counts {
  std::uint64_t requests = 0;          ///< All requests that arrived.
  std::uint64_t answered_full = 0;     ///< No shard is missing.
  std::uint64_t answered_partial = 0;  ///< Some shards are missing.
  std::uint64_t refused = 0;           ///< Not sent to any server.
  std::uint64_t unauthorized = 0;      ///< Refused for lack of a known API key.
  std::uint64_t failed = 0;  ///< Accepted, but answered with a 5xx status.
  std::uint64_t callers_gone = 0;  ///< The caller closed the connection.
  /// Handed over to a peer, because no server could be reached from here.
  std::uint64_t handed_over = 0;
  /// Taken over from peers.
  std::uint64_t taken_over = 0;
};

/// Refuses requests, or keeps them in flight until they are answered.
class request_handler {
 public:
  explicit request_handler(dispatcher& the_dispatcher)
      : dispatcher_(the_dispatcher) {}

  /// Handles a request; sends exactly one answer, now or later.
  void Handle(const std::shared_ptr<http_exchange>& exchange) {
    Handle(exchange, false);
  }

  /// As Handle, for a request that an isolated peer has handed over. It is not
  /// handed over again.
  void HandleHandover(const std::shared_ptr<http_exchange>& exchange) {
    Handle(exchange, true);
  }

  /// Sets when requests in flight will expire, because the process exits.
  /// Requests that are likely to take longer are refused from now on.
  void ExpireAt(instant when) { expires_at_ = when; }

  /// Answers all requests in flight as if their deadlines had passed.
  void ExpireAll();

  [[nodiscard]] std::size_t InFlight() const { return active_.size(); }
  [[nodiscard]] const request_counts& Counts() const { return counts_; }

  /// Holds workspaces to their usage limits from now on.
  /// @param usage must outlive this
  void LimitUsage(usage_exchange& usage) { usage_ = &usage; }

  /// Sets the function that is called with the latency of each request that is
  /// answered successfully.
  void OnLatency(std::function<void(microseconds)> on_latency) {
    on_latency_ = std::move(on_latency);
  }

 private:
  /// Makes the same decisions without their effects.
  friend class request_explainer;

  /// An answer to a request that is not sent to any server.
  struct refusal {
    http_reply reply;
    const char* cause = nullptr;   ///< For the log.
    request_identity identity{};   ///< For the log, if it is the cause.
    std::string workspace_name{};  ///< For the log, if its limit is the cause.
    usage_decision usage{};        ///< Likewise.
  };

  /// What the log line about the end of a request says of it.
  struct request_label {
    std::string request_id;
    std::string route_name;
    std::string workspace_name;
    bool counts_usage = false;  ///< Counted here, if the workspace has a limit.
    std::uint64_t version = 0;  ///< Of the routing table.
    instant arrived;
  };

  /// @return the refusal, or nothing if the request is accepted
  [[nodiscard]] std::optional<refusal> Check(const http_exchange& exchange,
                                             const route* matched) const;
  /// @return the delay before the caller should retry a request that is refused
  ///   for lack of a routing table
  [[nodiscard]] microseconds PlanRetryWithoutTable(
      const http_exchange& exchange) const;
  /// @return the accepted request as it is sent to backend servers, with its
  ///   deadline and objective
  routed_request Prepare(const std::shared_ptr<http_exchange>& exchange,
                         const route& matched,
                         const authorization& caller) const;
  /// @return the workspace whose API key the request carries
  [[nodiscard]] authorization AuthorizationOf(const http_exchange& exchange,
                                              const route& matched) const;
  /// Answers that the request needs a known API key.
  void RefuseUnauthorized(http_exchange& exchange, const authorization& caller);
  /// @return the refusal of a request that crashes servers
  [[nodiscard]] std::optional<refusal> CheckCrashes(
      const http_exchange& exchange, const authorization& caller) const;
  /// @return the refusal of a request above the usage limit of its workspace
  [[nodiscard]] std::optional<refusal> CheckUsage(const http_exchange& exchange,
                                                  const route& matched,
                                                  const authorization& caller,
                                                  bool handed_over);
  /// @return whether a request is handed over to a peer
  [[nodiscard]] bool HandsOver(bool handed_over) const;
  /// Called when a request that CheckUsage has counted is sent to no server.
  void GiveBackUsage(const std::string& workspace_name);
  /// @return how long before the objective an answer must be ready here
  [[nodiscard]] microseconds ObjectiveMargin() const;
  /// @return time that the caller waits for this attempt
  [[nodiscard]] milliseconds WaitOf(const http_exchange& exchange,
                                    const route& matched) const;
  /// Records how long a caller waits, for TimeSpentBefore.
  void RecordWait(const route& matched, milliseconds wait);
  /// @param wait time that the caller waits for this attempt
  /// @return time that the caller has spent on earlier attempts
  [[nodiscard]] microseconds TimeSpentBefore(const route& matched,
                                             milliseconds wait) const;
  /// Decides whether the servers and this instance can take the request. Comes
  /// after the usage limit, which counts refused requests too.
  /// @return whether the request was admitted; otherwise it is answered
  bool CheckAdmission(const routed_request& request);
  void Handle(const std::shared_ptr<http_exchange>& exchange, bool handed_over);
  /// @return whether the request would expire in the shutdown
  [[nodiscard]] bool ComesTooLate(const routed_request& request) const;
  /// Answers that the request has not run, and logs the cause.
  void Refuse(http_exchange& exchange, refusal refused);
  void StartRequest(routed_request request, bool handed_over);
  [[nodiscard]] std::shared_ptr<active_request> MakeRequest(
      routed_request request, bool handed_over,
      request_outcome_handler on_outcome);
  /// Counts and logs the end of a request.
  void OnEnd(std::uint64_t id, const request_label& label,
             const request_outcome& outcome);

  dispatcher& dispatcher_;
  usage_exchange* usage_ = nullptr;  // null: usage is not limited
  weighted_round_robin service_rotation_;
  std::map<std::uint64_t, std::shared_ptr<active_request>> active_;  // by id
  std::uint64_t last_id_ = 0;
  // By route: the longest wait that a caller has advertised, which is that of a
  // first attempt.
  std::map<std::string, milliseconds> longest_wait_;
  std::optional<instant> expires_at_;  // of the shutdown
  request_counts counts_;
  std::function<void(microseconds)> on_latency_;
};

}  // namespace basilhoist
