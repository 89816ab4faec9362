// Requests that may not be repeated: claimed in the store before they run.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "basilhoist/entry/entry_task.h"
#include "basilhoist/store/object_store.h"

namespace basilhoist {

/// How claims are kept.
struct once_options {
  std::string site;
  std::string instance;           ///< Named in the claims it makes.
  std::uint64_t incarnation = 0;  ///< Of the instance.
};

/// Counts for metrics and dumps.
struct once_counters {
  std::uint64_t claimed = 0;
  std::uint64_t repeated = 0;     ///< Arrivals that found a claim.
  std::uint64_t not_claimed = 0;  ///< Refused: the store gave no claim.
  std::uint64_t recorded = 0;     ///< Outcomes written for repeats.
};

/// What a caller gets for a request that may not be repeated.
struct once_answer {
  query_answer answer;
  bool recorded = false;  ///< The outcome of an earlier arrival.
  std::string body;       ///< The record of the outcome, when recorded.
};

/// Lets each request run at most once over all instances.
class once_task {
 public:
  using answer_callback = std::function<void(const once_answer&)>;

  once_task(event_loop& loop, object_store& store, entry_task& entry,
            once_options options);

  /// Claims the request's id, runs it, and records its outcome.
  /// @param format makes the text that is recorded for repeats
  void Run(const caller_request& request,
           std::function<std::string(const query_answer&)> format,
           answer_callback done);

  [[nodiscard]] const once_counters& Counters() const { return counters_; }

 private:
  struct work;
  using work_ptr = std::shared_ptr<work>;

  void OnClaim(const work_ptr& current, call_outcome outcome,
               std::uint64_t revision);
  void ReadBack(const work_ptr& current);
  void OnHeld(const work_ptr& current, std::uint64_t revision);
  void OnRepeat(const work_ptr& current, const std::string& content);
  void OnAnswer(const work_ptr& current, const query_answer& answer);
  void Record(const work_ptr& current, const std::string& text, int tries);
  void GiveUpClaim(const work_ptr& current, int tries);
  void Refuse(const work_ptr& current, verdict outcome, reason why);
  [[nodiscard]] std::string ClaimText(const work& current,
                                      const std::string& outcome) const;

  event_loop& loop_;
  object_store& store_;
  entry_task& entry_;
  once_options options_;
  std::string kind_;  // of claims in the store
  std::uint64_t last_claim_ = 0;
  once_counters counters_;
};

}  // namespace basilhoist
