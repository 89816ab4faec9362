// Adds up what instances report of one rollout, and decides how it ends.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <tuple>
#include <vector>

#include "basilhoist/link/messages.h"
#include "basilhoist/rollout/rollout_judge.h"

namespace basilhoist {

/// How a rollout is to end.
enum class rollout_verdict : std::uint8_t {
  kUndecided,
  kComplete,
  kRollBack,
};

/// Returns the short name used in logs and dumps.
std::string_view Name(rollout_verdict value);

/// What decided.
enum class rollout_reason : std::uint8_t {
  kNone,
  kFault,            ///< The target version is worse; see the finding.
  kNoFault,          ///< It has been judged and is not worse.
  kFewRequests,      ///< The service has too few requests for a judgement.
  kTooFewAnswers,    ///< The target version answered too few requests.
  kTooFewInstances,  ///< Too few instances report.
  kNoServers,        ///< No server of the target version can be used.
};

/// Returns the short name used in logs and dumps.
std::string_view Name(rollout_reason value);

/// A verdict and what it rests on.
struct rollout_decision {
  rollout_verdict verdict = rollout_verdict::kUndecided;
  rollout_reason reason = rollout_reason::kNone;
  version_finding finding;
  std::uint32_t target_answers = 0;
  std::uint32_t old_answers = 0;
  std::size_t reporting = 0;  ///< Instances with a recent report.

  bool operator==(const rollout_decision&) const = default;
};

/// The order and the instances, as a decider sees them.
struct rollout_progress {
  microseconds age{0};  ///< Of the order.
  microseconds duration{0};
  double share = 0;  ///< Of the requests that the target version gets.
  bool has_target_servers = true;  ///< That may be used.
  std::size_t instances = 1;
  /// Most instances are known here; see usage_members.
  bool complete = true;
};

/// Reports of one order.
class rollout_decider {
 public:
  /// Before the end of the order: a version without a fault is completed, so
  /// that three instances in turn have time to write it.
  static constexpr milliseconds kDecisionMargin{4500};
  /// Before the end of the order: one that could not be judged is rolled back.
  static constexpr milliseconds kGiveUpMargin{2500};
  /// A version is observed for at least this part of the duration.
  static constexpr double kMinObservedPart = 0.5;
  /// Answers of the target version below which it is not judged.
  static constexpr std::uint32_t kMinAnswers = 10;
  /// Reports older than this do not count as of a reporting instance.
  static constexpr milliseconds kFresh{2000};
  /// A datagram is not overtaken by more than this.
  static constexpr std::uint32_t kOvertakenMs = 5000;
  /// Reports that are kept; more would be forged.
  static constexpr std::size_t kMaxReports = 8192;
  /// Routes in a report, so that it fits one datagram.
  static constexpr std::size_t kMaxRoutes = 8;
  static constexpr std::size_t kMaxBrokenServers = 8;

  /// @return whether an instance could have sent the report; longer lists would
  ///   cost memory for each sender
  [[nodiscard]] static bool IsWellFormed(const rollout_report& report);

  void OnReport(const rollout_report& report, instant now);

  /// @return the verdict by what is known now
  [[nodiscard]] rollout_decision Decide(const rollout_progress& progress,
                                        instant now) const;

  [[nodiscard]] rollout_totals Totals() const;
  [[nodiscard]] std::size_t Reporting(instant now) const;

 private:
  // Address, port and incarnation. Counts of an instance that has restarted
  // add up with those from before.
  using origin = std::tuple<std::uint32_t, std::uint16_t, std::uint64_t>;
  struct entry {
    rollout_report report;
    instant received_at;
    // What the last two reports both state. One damaged report, which may state
    // any counts, changes nothing by itself.
    rollout_totals confirmed;
    // By server, as instances see the same breaks.
    std::map<std::uint64_t, rollout_breaks> broken_old;
    std::map<std::uint64_t, rollout_breaks> broken_target;
  };

  static void Confirm(entry& known, const rollout_report& next);

  std::map<origin, entry> reports_;
};

}  // namespace basilhoist
