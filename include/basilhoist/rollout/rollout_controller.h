// Which version of a service's servers an instance's requests go to, what it
// reports of rollouts, and what it decides about them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilhoist/directory/server_directory.h"
#include "basilhoist/rollout/canary_share.h"
#include "basilhoist/rollout/rollout_decider.h"
#include "basilhoist/rollout/rollout_order.h"
#include "basilhoist/rollout/service_versions.h"
#include "basilhoist/usage/usage_members.h"

namespace basilhoist {

/// Options of a rollout_controller.
struct rollout_options {
  /// Share of a service's requests, over all instances, that a version may get
  /// before it is judged.
  double max_share = 0;
  /// Requests beyond that share, over all instances.
  double slack = 0;
  /// Time after many bad answers until which requests may still be sent.
  milliseconds rollback_delay{5000};
  endpoint self;                  ///< Where this instance takes datagrams.
  std::uint64_t incarnation = 0;  ///< Of this instance.
  std::uint64_t seed = 1;
};

/// Whether a request may be sent to a server of this version.
enum class version_permit : std::uint8_t {
  kAllowed,
  kPreferred,  ///< The request should go there, so that the version is judged.
  kHeld,
};

/// A status that this instance should write to the store.
struct rollout_write {
  std::string service;
  std::uint64_t revision = 0;  ///< On condition of this revision.
  rollout_state state = rollout_state::kNone;
  std::string target_version;

  bool operator==(const rollout_write&) const = default;
};

/// A datagram to a peer.
struct rollout_datagram {
  endpoint to;
  std::optional<rollout_report> report;
  std::optional<rollout_notice> notice;

  bool operator==(const rollout_datagram&) const = default;
};

/// How an answer of a server ended.
struct version_answer {
  std::uint64_t route = 0;  ///< Hash of the route's name.
  version_result result = version_result::kAnswered;
  microseconds reply_time{0};

  auto operator<=>(const version_answer&) const = default;
};

/// Counters for metrics.
struct rollout_counts {
  std::uint64_t canary_sends = 0;
  std::uint64_t reports_sent = 0;
  std::uint64_t completed = 0;
  std::uint64_t rolled_back = 0;
};

/// All rollouts, as one instance sees them. Free of I/O.
class rollout_controller {
 public:
  /// Part of the maximum share that is used, as instances round their shares
  /// and hedged sends come on top.
  static constexpr double kSharePart = 0.7;
  /// Part of the slack that is used. Services with few requests could not be
  /// judged by their share alone.
  static constexpr double kSlackPart = 0.5;
  /// Without a notice for this time, or half of the rollback delay, nothing is
  /// sent to a version that is being judged: a verdict would not arrive either.
  static constexpr milliseconds kNoticeLifetime{2000};
  /// Between the verdict and the status that stops the old servers: all
  /// instances change over, and requests in flight end.
  static constexpr milliseconds kChangeOver{1000};
  /// After this time each, the next decider writes the status.
  static constexpr milliseconds kWriteTurn{800};
  static constexpr milliseconds kWriteRetry{1000};
  /// All requests of a server that crashes break off at about the same time.
  /// Within this time after the first one, the others are not counted.
  static constexpr milliseconds kBreakInterval{1000};
  /// Two ages of an order that a peer states one after the other agree if they
  /// differ by no more than this.
  static constexpr milliseconds kAgeTolerance{1000};
  /// Between two reports.
  static constexpr milliseconds kReportPeriod{500};
  /// A decider that has started or was suspended rolls back for want of reports
  /// only after it has observed the rollout for this time: it has not read yet
  /// what was sent to it meanwhile.
  static constexpr milliseconds kLeastObserved{1000};

  rollout_controller(const server_directory& directory, rollout_options options)
      : directory_(directory),
        options_(std::move(options)),
        random_(options_.seed) {}

  /// Called with all orders when they have changed.
  /// @param era of the store that they come from; see store_position
  /// @param malformed services whose orders cannot be read; the last ones stay
  void SetOrders(const std::vector<rollout_order>& orders, std::uint64_t era,
                 instant now, const std::set<std::string>& malformed = {});
  /// Called with one order as an answer to a write shows it.
  void OnOrder(const rollout_order& order, instant now);
  void SetMembers(usage_members members) { members_ = std::move(members); }

  void OnServersAdded(const std::vector<listed_server_ptr>& added, instant now);
  void OnServerRemoved(const listed_server& server);
  void OnServerCrashed(const listed_server& server);

  /// Called when a request for a service begins at this instance.
  void OnRequest(const std::string& service);
  /// @return whether a new version of the service's servers is being judged
  [[nodiscard]] bool IsJudging(const std::string& service) const;
  [[nodiscard]] version_permit PermitOf(const listed_server& server,
                                        instant now) const;
  void OnSent(const listed_server& server);
  void OnAnswer(const listed_server& server, const version_answer& answer,
                instant now);

  /// Called each kReportPeriod. Decides where this instance is a decider.
  [[nodiscard]] std::vector<rollout_datagram> TakeDatagrams(instant now);
  /// @return the notice to be sent back; nothing if the report is not one of a
  ///   known instance about a known order
  std::optional<rollout_datagram> OnReport(const rollout_report& report,
                                           instant now);
  void OnNotice(const rollout_notice& notice, instant now);

  /// @return what this instance should write now; each until OnWritten
  [[nodiscard]] std::vector<rollout_write> TakeWrites(instant now);
  void OnWritten(const std::string& service, instant now);

  [[nodiscard]] const rollout_counts& Counts() const { return counts_; }
  [[nodiscard]] nlohmann::ordered_json Dump(instant now) const;

 private:
  enum class phase : std::uint8_t { kJudging, kChangingOver, kEnded };

  // One order.
  struct rollout {
    rollout_order order;
    std::uint64_t era = 0;
    // Datagrams about an order of a lower revision are about an earlier one
    // for the same version.
    std::uint64_t first_revision = 0;
    // The final state, once known; older copies of the store do not undo it.
    rollout_state ended = rollout_state::kNone;
    instant ended_at;
    instant ordered_at;  // as far as this instance knows
    // Time of the order by the last datagram of each peer.
    std::map<endpoint, instant> stated_order_times;
    canary_share canary;
    bool slack_added = false;
    // Whether servers of the service have been listed since the order was
    // known, and whether all of them were of the target version then.
    bool servers_seen = false;
    bool target_in_use = false;
    rollout_totals counts;  // of this instance, without breaks
    std::vector<rollout_breaks> broken_old;
    std::vector<rollout_breaks> broken_target;
    std::map<std::uint64_t, instant> broken_at;  // by incarnation of the server
    std::vector<endpoint> deciders;
    std::map<endpoint, instant> heard;  // by decider
    rollout_decider decider;
    rollout_decision decision;  // if this instance is a decider
    rollout_verdict verdict = rollout_verdict::kUndecided;
    instant verdict_at;
    std::map<rollout_verdict, instant> told;  // last notice of each
    instant taken_at;                         // the last TakeDatagrams
    instant observing_since;  // the first one without a long gap since
    bool writing = false;
    instant next_write;

    [[nodiscard]] microseconds Age(instant now) const {
      return now - ordered_at;
    }
    [[nodiscard]] bool IsTarget(const listed_server& server) const {
      return server.info.version == order.target_version;
    }
  };

  void Begin(const rollout_order& order, std::uint64_t era, instant now);
  // Called with the order of a service that has one; `run` may end.
  void Change(rollout& run, const rollout_order& order, std::uint64_t era,
              instant now);
  void Update(rollout& run, const rollout_order& order, instant now);
  // Called when servers of the service may have been listed.
  void NoteServers(rollout& run) const;
  void End(rollout& run, rollout_state state, instant now);
  void RejectTarget(const rollout& run);
  // Called when an order is withdrawn or replaced.
  void Drop(const rollout& run);
  void SetVerdict(rollout& run, rollout_verdict verdict, instant now);
  static void AdoptAge(rollout& run, const endpoint& from, std::uint32_t age_ms,
                       instant now);
  void AddSlack(rollout& run) const;
  void Decide(rollout& run, instant now);
  static void AddBreak(rollout& run, const listed_server& server, instant now);
  // Returns the breaks of a server; null if too many servers are known.
  static rollout_breaks* BreaksOf(rollout& run, const listed_server& server);
  [[nodiscard]] phase PhaseOf(const rollout& run) const;
  [[nodiscard]] bool MayUseCanary(const rollout& run,
                                  const listed_server& server,
                                  instant now) const;
  [[nodiscard]] version_permit PermitInUse(const listed_server& server,
                                           instant now) const;
  [[nodiscard]] rollout_report ReportOf(const rollout& run, instant now) const;
  [[nodiscard]] rollout_notice NoticeOf(const rollout& run, instant now) const;
  [[nodiscard]] std::optional<std::size_t> RankOf(const rollout& run) const;
  [[nodiscard]] rollout* FindById(std::uint64_t order);
  [[nodiscard]] bool IsMember(const endpoint& address) const;
  [[nodiscard]] microseconds NoticeLifetime() const {
    return std::min<microseconds>(kNoticeLifetime, options_.rollback_delay / 2);
  }
  [[nodiscard]] double Share() const { return kSharePart * options_.max_share; }

  const server_directory& directory_;
  rollout_options options_;
  pcg32 random_;
  usage_members members_;
  service_versions versions_;
  std::map<std::string, rollout> rollouts_;  // by service
  bool knows_orders_ = false;                // whether SetOrders was called
  rollout_counts counts_;
};

}  // namespace basilhoist
