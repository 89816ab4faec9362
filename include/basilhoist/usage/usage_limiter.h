// Holds workspaces to their usage limits, over all instances together.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilhoist/usage/return_plan.h"
#include "basilhoist/usage/usage_allowance.h"
#include "basilhoist/usage/usage_keeper.h"
#include "basilhoist/usage/usage_members.h"

namespace basilhoist {

/// A datagram to a peer: one of the two messages.
struct usage_datagram {
  endpoint to;
  std::optional<usage_report> report;
  std::optional<usage_answer> answer;

  bool operator==(const usage_datagram&) const = default;
};

/// Counters for metrics.
struct usage_counts {
  std::array<std::uint64_t, kUsageBasisCount> admitted{};  ///< By basis.
  std::array<std::uint64_t, kUsageBasisCount> refused{};   ///< By basis.
  std::uint64_t given_back = 0;  ///< Counted, but sent to no server.
  std::uint64_t reports_sent = 0;
  std::uint64_t answers_sent = 0;
  std::uint64_t notices_sent = 0;  ///< Answers without a report.
  std::uint64_t grants_received = 0;

  bool operator==(const usage_counts&) const = default;
};

/// State of one workspace at this instance, for the dump.
struct usage_state {
  std::string workspace;
  usage_limit limit;
  std::uint64_t admitted = 0;
  std::uint64_t granted_left = 0;
  bool disconnected = false;  ///< Too few keepers answer.
  std::vector<endpoint> keepers;

  bool operator==(const usage_state&) const = default;
};

/// What Admit would decide, and what it would be based on.
struct usage_preview {
  usage_decision decision;
  usage_state state;
  /// Of the limit, while this instance reaches too few keepers; 0 to 1.
  double fallback_share = 0;

  bool operator==(const usage_preview&) const = default;
};

/// The decisions of one instance: as one where callers send requests, and as a
/// keeper for others. It sends nothing itself; the caller takes the datagrams
/// and sends them.
class usage_limiter {
 public:
  /// Interval between two rounds of notices.
  static constexpr milliseconds kNoticePeriod{100};

  /// @param self address where this instance receives datagrams
  /// @param begun when this process began
  usage_limiter(endpoint self, instant begun)
      : self_(std::move(self)),
        begun_(begun),
        incarnation_(static_cast<std::uint64_t>(begun.SinceBoot().count())),
        keeper_(begun) {}

  void SetMembers(usage_members members);

  /// Decides on a request and counts it if it is admitted.
  /// @param version of the routing table that the workspace is from
  /// @param patience the caller returns after no longer wait than this
  usage_decision Admit(const workspace& sender, std::uint64_t version,
                       microseconds patience, instant now);

  /// @return what Admit would decide now; counts nothing
  [[nodiscard]] usage_preview Preview(const workspace& sender,
                                      std::uint64_t version, instant now) const;

  /// Called when a request that was admitted is sent to no server.
  void GiveBack(const std::string& workspace_name, instant now);

  void OnReport(const usage_report& report, instant now);
  void OnAnswer(const usage_answer& answer, instant now);

  /// @return when TakeDatagrams has something to send; the highest time if
  ///   nothing is to be sent
  [[nodiscard]] instant NextSendAt() const;

  /// @return what is to be sent now
  std::vector<usage_datagram> TakeDatagrams(instant now);

  [[nodiscard]] const usage_counts& Counts() const { return counts_; }
  /// @param max limit on their number
  [[nodiscard]] std::vector<usage_state> States(std::size_t max,
                                                instant now) const;
  /// @return number of workspaces that have sent requests here lately
  [[nodiscard]] std::size_t Size() const { return callers_.size(); }
  [[nodiscard]] const usage_keeper& Keeper() const { return keeper_; }

 private:
  struct calling_workspace {
    usage_allowance allowance;
    std::string name;
    usage_limit limit;
    std::uint64_t version = 0;
    usage_surroundings around;
    std::uint64_t members_version = 0;
    return_plan returns;
  };
  using reports_by_keeper = std::map<endpoint, std::vector<usage_demand>>;

  void UpdateSurroundings(std::uint64_t key, calling_workspace& caller) const;
  void ReportTo(reports_by_keeper& reports, std::uint64_t key,
                calling_workspace& caller, instant now);
  static void Complete(usage_demand& demand, std::uint64_t key,
                       const calling_workspace& caller);
  /// Reports to this instance, if it is a keeper of the workspace.
  void AskSelf(usage_demand demand, std::uint64_t key,
               calling_workspace& caller, instant now);
  static usage_state StateOf(const calling_workspace& caller, instant now);
  [[nodiscard]] usage_report ReportHeader(instant now) const;
  void RemoveIdle(instant now);

  endpoint self_;
  instant begun_;
  std::uint64_t incarnation_;
  usage_members members_;
  std::uint64_t members_version_ = 1;
  std::unordered_map<std::uint64_t, calling_workspace> callers_;
  usage_keeper keeper_;
  std::map<endpoint, usage_answer> answers_;
  instant next_report_ = usage_allowance::kNever;
  instant next_notice_;
  instant next_removal_;
  usage_counts counts_;
};

}  // namespace basilhoist
