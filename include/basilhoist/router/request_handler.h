// Takes callers' requests: checks, route, and the run that answers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "basilhoist/dispatch/caller_request.h"

namespace basilhoist {

/// Counters for metrics.
struct request_counts {
  std::uint64_t requests = 0;
  std::uint64_t answered_full = 0;
  std::uint64_t answered_partial = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t callers_gone = 0;
};

/// Decides what becomes of each request as it arrives.
class request_handler {
 public:
  explicit request_handler(dispatcher& shared) : shared_(shared) {}

  /// Takes a request; it is replied to once.
  void Handle(const std::shared_ptr<http_exchange>& exchange);

  /// Answers all requests now as if their deadlines had passed.
  void ExpireAll();

  [[nodiscard]] std::size_t InFlight() const { return active_.size(); }
  [[nodiscard]] const request_counts& Counts() const { return counts_; }

  /// Calls a function with each answered request's time.
  void OnLatency(std::function<void(microseconds)> observe) {
    observe_ = std::move(observe);
  }

 private:
  /// A reply that ends the request before it is sent anywhere.
  struct refusal {
    http_reply reply;
    const char* cause = nullptr;
  };

  [[nodiscard]] std::optional<refusal> Check(const http_exchange& exchange,
                                             const route* matched) const;
  [[nodiscard]] microseconds PlanRetryWithoutTable(
      const http_exchange& exchange) const;
  caller_request Prepare(const std::shared_ptr<http_exchange>& exchange,
                         const route& matched);
  [[nodiscard]] std::string HeadOf(const http_exchange& exchange) const;
  [[nodiscard]] microseconds ObjectiveMargin() const;
  microseconds TimeSpentBefore(const route& matched, milliseconds wait);
  void Begin(caller_request request);
  void OnEnd(std::uint64_t id, const std::string& request_id,
             const std::string& route_name, std::uint64_t version,
             instant arrived, const request_end& end);

  dispatcher& shared_;
  weighted_turns turns_;
  std::map<std::uint64_t, std::shared_ptr<active_request>> active_;
  std::uint64_t last_id_ = 0;
  // Longest wait that callers of a route have stated: a first attempt's.
  std::map<std::string, milliseconds> longest_wait_;
  request_counts counts_;
  std::function<void(microseconds)> observe_;
};

}  // namespace basilhoist
