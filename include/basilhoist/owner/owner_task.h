// Holds the connections to the backend servers that this instance owns.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilhoist/http/http_client.h"
#include "basilhoist/link/messages.h"
#include "basilhoist/member/ownership.h"
#include "basilhoist/owner/server_gate.h"
#include "basilhoist/settings/site_settings.h"

namespace basilhoist {

/// Takes the replies for one entry.
class reply_sink {
 public:
  virtual ~reply_sink() = default;
  virtual void OnReplies(subreply_batch replies) = 0;
};

/// Says whether this instance may send to a server at this very instant.
using send_permit = std::function<bool(const owned_server&)>;

/// How the owner is set up.
struct owner_options {
  std::string local_address;  ///< IP number to send from.
  send_permit may_send;
};

/// Counts for metrics and dumps.
struct owner_counters {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t shed = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
};

/// State of one server, for the dump.
struct owned_server_state {
  std::string name;
  server_load load;
  bool barred = false;
  bool permitted = false;
};

/// Sends sub-requests to owned backend servers within their limits.
class owner_task {
 public:
  owner_task(event_loop& loop, http_client& http, owner_options options);

  /// Takes the site's servers; unknown ones are dropped.
  void SetServers(const std::map<std::string, server_entry>& servers);

  /// Sets the servers that get no new work.
  void SetBarred(std::set<std::string> servers);

  /// Takes work.
  /// @param sink where replies go; dropped when it is gone
  void OnBatch(const subrequest_batch& batch,
               const std::shared_ptr<reply_sink>& sink);

  /// Gives up work that an entry needs no more.
  void OnCancel(const cancel_batch& cancels,
                const std::shared_ptr<reply_sink>& sink);

  /// Takes no new work from now on; what is in flight goes on.
  void Stop();

  /// @return sub-requests in flight at all servers, or at one
  [[nodiscard]] std::size_t InFlight() const;
  [[nodiscard]] std::size_t InFlight(const std::string& server) const;

  [[nodiscard]] const owner_counters& Counters() const { return counters_; }
  [[nodiscard]] std::vector<owned_server_state> States() const;

 private:
  struct job {
    subrequest request;
    std::shared_ptr<const request_payload> payload;
    std::weak_ptr<reply_sink> sink;
    const reply_sink* sink_id = nullptr;
    instant arrived;
    instant deadline;
    instant sent_at;
    bool in_flight = false;
    bool cancelled = false;
  };
  struct slot {
    server_entry entry;
    server_gate gate;
    timer_id wake = 0;
    bool waiting_for_permit = false;
    instant last_permitted;
    server_load told_load;              // as of the latest change
    std::uint64_t load_changed_at = 0;  // count of load changes so far
  };
  struct sink_key {
    const reply_sink* sink = nullptr;
    std::uint64_t id = 0;
    auto operator<=>(const sink_key&) const = default;
  };

  void Take(const subrequest& request,
            const std::shared_ptr<const request_payload>& payload,
            const std::shared_ptr<reply_sink>& sink, instant now);
  void Dispatch(slot& at);
  void ArmWake(slot& at, instant now);
  void Send(slot& at, std::uint64_t job_id, instant now);
  void OnResult(std::uint64_t job_id, http_result& result);
  void Refuse(std::uint64_t job_id, reason why, std::uint32_t retry_after_ms);
  void RefuseQueue(slot& at, reason why);
  void Reply(std::uint64_t job_id, subreply reply);
  void FlushReplies();
  void NoteLoad(slot& at, instant now);
  [[nodiscard]] std::vector<load_report> LoadsFor(
      const std::shared_ptr<reply_sink>& sink);
  [[nodiscard]] bool Permitted(const slot& at) const;
  [[nodiscard]] slot* FindSlot(const std::string& server);

  event_loop& loop_;
  http_client& http_;
  owner_options options_;
  bool stopped_ = false;
  std::uint64_t last_job_ = 0;
  std::map<std::string, slot> slots_;
  std::set<std::string> barred_;
  std::unordered_map<std::uint64_t, job> jobs_;
  std::map<sink_key, std::uint64_t> job_of_;
  std::map<std::shared_ptr<reply_sink>, subreply_batch> unsent_;
  std::uint64_t load_changes_ = 0;
  std::map<std::weak_ptr<reply_sink>, std::uint64_t,
           std::owner_less<std::weak_ptr<reply_sink>>>
      loads_told_;  // up to which change
  bool flush_posted_ = false;
  owner_counters counters_;
};

}  // namespace basilhoist
