// Runs callers' requests: the entry's part of an instance.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "basilhoist/entry/group_state.h"
#include "basilhoist/entry/query_run.h"
#include "basilhoist/entry/request_outbox.h"
#include "basilhoist/owner/owner_task.h"
#include "basilhoist/settings/site_settings.h"

namespace basilhoist {

/// One request of a caller.
struct caller_request {
  operation kind = operation::kQuery;
  std::string group;
  std::string request_id;
  std::string key;   ///< Of a lookup or of a request not to be repeated.
  std::string body;  ///< JSON, passed on to backend servers as it is.
  milliseconds deadline{0};  ///< 0: the group's default.
};

/// Counts for metrics and dumps.
struct entry_counters {
  std::uint64_t requests = 0;
  std::uint64_t full_answers = 0;
  std::uint64_t partial_answers = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t first_attempts = 0;
  std::uint64_t extra_attempts = 0;
  std::uint64_t late_replies = 0;  ///< Replies nobody waited for.
};

/// What an entry has learned of one group, for the dump.
struct group_summary {
  std::string name;
  microseconds second_attempt_delay{0};  ///< 0: not known yet.
  std::uint32_t in_flight = 0;
  std::uint32_t admission_limit = 0;
};

/// What the entry needs from the rest of the instance.
struct entry_options {
  std::uint64_t seed = 1;
  query_strategy strategy;
  /// Names the instance that acts for a server; empty if there is none.
  std::function<std::string(const owned_server&)> owner_of;
};

/// Runs requests over the site's service groups.
class entry_task : public reply_sink {
 public:
  using answer_callback = std::function<void(const query_answer&)>;

  entry_task(event_loop& loop, owner_channel& channel, entry_options options);

  void SetSettings(const site_settings& settings);
  void SetIndex(std::shared_ptr<const index_catalogue> index);
  void SetBarred(std::set<std::string> servers);

  /// Starts a request. One that may not be repeated must have been claimed.
  /// @param done called once
  void Run(const caller_request& request, answer_callback done);

  void OnReplies(subreply_batch replies) override;

  /// Ends every attempt that waits for an owner which is gone.
  void OnOwnerLost(const std::string& owner);

  /// @return the group's settings, or null
  [[nodiscard]] const service_group* FindGroup(const std::string& name) const;

  /// @return what was learned of each group
  [[nodiscard]] std::vector<group_summary> Groups() const;

  [[nodiscard]] const entry_counters& Counters() const { return counters_; }
  [[nodiscard]] std::size_t InFlight() const { return runs_.size(); }
  [[nodiscard]] bool HasIndex() const { return index_ != nullptr; }

 private:
  struct running {
    std::unique_ptr<query_run> run;
    std::shared_ptr<const request_payload> payload;
    answer_callback done;
    group_state* group = nullptr;
    instant deadline;
    timer_id wake = 0;
    instant wake_at;
    bool admitted = false;
  };
  struct open_attempt {
    std::uint64_t run_id = 0;
    std::string owner;
  };

  void Act(std::uint64_t run_id, query_step step);
  void SendAttempt(std::uint64_t run_id, const planned_attempt& attempt);
  void OnUnsent(std::uint64_t attempt_id);
  void Close(std::uint64_t run_id, const query_answer& answer);
  void Count(const query_answer& answer);
  void Refuse(const answer_callback& done, reason why, std::uint32_t retry_ms);
  [[nodiscard]] index_source SourceOf(const std::string& group) const;

  event_loop& loop_;
  entry_options options_;
  request_outbox outbox_;
  site_settings settings_;
  std::map<std::string, server_entry> servers_;
  std::shared_ptr<const index_catalogue> index_;
  server_table table_;
  std::map<std::string, std::unique_ptr<group_state>> groups_;
  std::unordered_map<std::uint64_t, running> runs_;
  std::unordered_map<std::uint64_t, open_attempt> attempts_;
  std::uint64_t last_run_ = 0;
  std::uint64_t last_attempt_ = 0;
  entry_counters counters_;
};

}  // namespace basilhoist
