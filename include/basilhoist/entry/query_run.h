// One request on its way through its shards. Pure: no sockets, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/entry/group_state.h"
#include "basilhoist/link/messages.h"
#include "basilhoist/route/server_table.h"
#include "basilhoist/snapshot/index_catalogue.h"

namespace basilhoist {

/// A sub-request that the run wants sent.
struct planned_attempt {
  std::uint64_t id = 0;
  std::string server;
  std::string shard;
  std::uint64_t version = 0;
  bool second_attempt = false;
};

/// An attempt that the run needs no more.
struct planned_cancel {
  std::uint64_t id = 0;
  std::string server;
};

/// What one shard contributed.
struct shard_result {
  std::string shard;
  std::string body;

  bool operator==(const shard_result&) const = default;
};

/// A shard that the answer lacks.
struct missing_shard {
  std::string shard;
  reason why = reason::kNone;

  bool operator==(const missing_shard&) const = default;
};

/// The answer to one request.
struct query_answer {
  verdict outcome = verdict::kNotRun;
  reason why = reason::kNone;
  std::uint32_t retry_after_ms = 0;
  std::uint64_t index_version = 0;
  std::size_t total_shards = 0;
  std::vector<shard_result> results;
  std::vector<missing_shard> missing;
  std::uint32_t first_attempts = 0;
  std::uint32_t extra_attempts = 0;
  microseconds worst_queue_wait{0};
  bool refused_for_room = false;
};

/// What to do after an event.
struct query_step {
  std::vector<planned_attempt> send;
  std::vector<planned_cancel> cancel;
  std::optional<query_answer> answer;  ///< Set once, when the run is over.
  instant wake_at;                     ///< When to call OnTime, unless over.
};

/// What a run is about.
struct query_spec {
  instant deadline;
  std::string key;    ///< Of a lookup: one shard only. Empty for a query.
  bool once = false;  ///< Never sent again once it may have run.
};

/// Gives the newest published index of a group; null where there is none.
using index_source = std::function<std::shared_ptr<const group_index>()>;

/// Runs a request that may be repeated: pins it to one index version, sends
/// one sub-request for each shard, second attempts and retries, and puts the
/// answer together.
class query_run {
 public:
  /// @param index asked for the group's index at each start
  /// @param servers shared knowledge of servers
  /// @param group shared state of the service group
  /// @param next_id source of attempt ids
  query_run(query_spec spec, index_source index, server_table& servers,
            group_state& group, std::uint64_t& next_id);

  query_step Begin(instant now);
  query_step OnReply(const subreply& reply, instant now);

  /// An attempt ended without a reply from the owner.
  query_step OnLost(std::uint64_t id, verdict outcome, instant now);

  query_step OnTime(instant now);

  /// @return whether an attempt of this id is open
  [[nodiscard]] bool Owns(std::uint64_t id) const { return open_.contains(id); }

  [[nodiscard]] std::uint64_t Version() const { return version_; }
  [[nodiscard]] std::size_t OpenAttempts() const { return open_.size(); }

 private:
  struct part {
    const shard* place = nullptr;
    std::set<std::string> tried;
    std::vector<std::uint64_t> attempts;
    std::uint32_t open = 0;
    bool answered = false;
    bool given_up = false;
    bool second_sent = false;
    reason last_reason = reason::kNone;
    std::string body;
    instant first_sent;
    microseconds first_wait{0};  // that was expected for a slot
    instant second_after;        // no second attempt before this
    instant retry_at;            // zero: no retry is waiting
    std::uint32_t rounds = 0;
  };
  struct attempt {
    std::size_t part = 0;
    std::string server;
    instant sent_at;
    bool second = false;
  };

  void Pin(instant now, query_step& step);
  void SendFirst(std::size_t part_index, instant now, query_step& step);
  bool SendTo(std::size_t part_index, const std::string& server, bool second,
              instant now, query_step& step);
  void TrySecond(std::size_t part_index, instant now, query_step& step);
  void Retry(std::size_t part_index, instant now, query_step& step);
  void OnFailure(const attempt& from, const subreply& reply, instant now,
                 query_step& step);
  void OnVersionGone(std::size_t part_index, instant now, query_step& step);
  void Accept(std::size_t part_index, const subreply& reply,
              const attempt& from, instant now, query_step& step);
  void CancelOpen(std::size_t part_index, instant now, query_step& step);
  bool RestartAllowed(instant now) const;
  void Restart(instant now, query_step& step);
  query_step Finish(query_step step, instant now);
  void Close(reason why, instant now, query_step& step);
  [[nodiscard]] bool SecondAllowed() const;
  [[nodiscard]] instant SecondAt(const part& current) const;
  [[nodiscard]] bool Complete();
  [[nodiscard]] instant NextWake() const;
  [[nodiscard]] instant PartialAt() const;

  query_spec spec_;
  index_source source_;
  std::shared_ptr<const group_index> index_;
  server_table& servers_;
  group_state& group_;
  std::uint64_t& next_id_;
  std::uint64_t version_ = 0;
  std::uint32_t restarts_ = 0;
  bool over_ = false;
  bool wake_is_old_ = true;
  instant wake_;
  std::size_t first_open_part_ = 0;
  instant began_;
  verdict outcome_ = verdict::kNotRun;
  std::uint32_t retry_after_ms_ = 0;
  query_answer answer_;
  std::vector<part> parts_;
  std::map<std::uint64_t, attempt> open_;
};

}  // namespace basilhoist
