// What one instance may admit of one workspace's usage limit.
#pragma once

#include <array>
#include <map>
#include <vector>

#include "basilhoist/base/endpoint.h"
#include "basilhoist/link/messages.h"
#include "basilhoist/usage/usage_policy.h"

namespace basilhoist {

/// What decided on a request.
enum class usage_basis : std::uint8_t {
  kUnlimited,  ///< The workspace has no limit.
  kGranted,    ///< A keeper's grant.
  kAhead,      ///< Admitted before a grant, as far from the limit.
  kFallback,   ///< The share of an instance that reaches too few keepers.
  kReturned,   ///< Takes the place of a request that was not sent.
  kUsedUp,     ///< The keepers say that the limit is used up.
  kOwnCount,   ///< This instance alone has used up the limit.
};
inline constexpr std::size_t kUsageBasisCount = 7;

/// @return the basis as it is written in logs and metrics
const char* Name(usage_basis basis);

/// Whether a request is within the usage limit of its workspace.
struct usage_decision {
  bool admitted = true;
  usage_basis basis = usage_basis::kUnlimited;
  microseconds age{0};   ///< Of what the decision is based on.
  microseconds wait{0};  ///< Until a refused request may be admitted.
  double part = 1;  ///< Of the limit that is used at this instance, 0 to 1.

  bool operator==(const usage_decision&) const = default;
};

/// The keepers of a workspace, and what holds while they do not answer.
struct usage_surroundings {
  std::vector<endpoint> keepers;  ///< In the order of preference.
  std::size_t quorum = 1;         ///< So many of them must answer.
  bool complete = false;          ///< See usage_members.
  double share = 0;               ///< See usage_members.

  bool operator==(const usage_surroundings&) const = default;
};

/// Number of events in a sliding time of two seconds, or in the last one.
class usage_counter {
 public:
  void Add(instant now);
  /// @return events in the last two seconds
  [[nodiscard]] std::uint32_t Recent(instant now);
  /// @return events in the last second
  [[nodiscard]] std::uint32_t LastSecond(instant now);

 private:
  static constexpr std::size_t kBuckets = 16;
  void AdvanceTo(instant now);

  // One bucket more than the time spans, since the oldest is partly outside.
  std::array<std::uint32_t, kBuckets + 1> buckets_{};
  std::int64_t newest_ = 0;
};

/// Decides on the requests of one workspace that arrive at one instance. A
/// request is admitted on a grant of the first keeper that answers, a young one
/// only if all are, provided that a quorum of the keepers answers and none says
/// that the limit is exceeded. Far from the limit, a few are admitted ahead of
/// the grant.
class usage_allowance {
 public:
  static constexpr instant kNever{microseconds::max()};
  /// Requests that may be admitted ahead of the first grant.
  static constexpr double kFirstAhead = 2;
  /// Part of this instance's share of the rate that it uses while it reaches
  /// too few keepers. The others go on with the whole limit; half a share of
  /// up to a fifth of the instances stays within the rule's tenth.
  static constexpr double kFallbackPart = 0.5;
  /// No request is admitted ahead for this time after a keeper has said that
  /// the limit is nearly used up. Keepers repeat it more often.
  static constexpr milliseconds kPressedMemory{1000};
  /// Reports are repeated at this interval while requests are refused or the
  /// limit is nearly used up, for kRepeatTime after the last request.
  static constexpr milliseconds kRepeat{150};
  static constexpr milliseconds kRepeatTime{1500};
  /// A report that a keeper has not answered is repeated after this time,
  /// which doubles up to kMaxRetries times.
  static constexpr milliseconds kRetry{60};
  static constexpr int kMaxRetries = 6;
  /// A report that no decision waits for is delayed to take in more requests.
  static constexpr milliseconds kReportDelay{40};
  /// Too few keepers are reached if they do not answer for this time.
  static constexpr milliseconds kAnswerTime{300};

  /// @param begun when this process began
  explicit usage_allowance(instant begun) : own_(begun) {}

  /// Decides on a request; counts it if it is admitted.
  usage_decision Admit(const usage_limit& limit,
                       const usage_surroundings& around, instant now);

  /// Called when a request that was counted is not sent to any server.
  void GiveBack(instant now);

  void OnGrant(const endpoint& keeper, const usage_grant& grant,
               const usage_surroundings& around, instant now);

  /// @return when to report to the keepers; the highest time if there is
  ///   nothing to report
  [[nodiscard]] instant ReportAt() const { return report_at_; }

  /// @return what is to be known of this instance now
  usage_demand Demand(instant now);

  /// @return as Demand; plans the next report
  usage_demand Report(const usage_surroundings& around, instant now);

  /// @return requests that a grant allows now
  [[nodiscard]] std::uint64_t GrantedLeft(const usage_surroundings& around,
                                          instant now) const;
  /// @return whether too few keepers answer
  [[nodiscard]] bool Disconnected(const usage_surroundings& around,
                                  instant now) const;
  [[nodiscard]] std::uint64_t Admitted() const { return admitted_; }
  /// @return whether nothing has happened for long
  [[nodiscard]] bool Idle(instant now) const;

 private:
  struct keeper_view {
    usage_grant newest;
    instant sent_at;      // of the report that the newest grant answers
    instant received_at;  // the newest grant
    instant pressed_until;

    [[nodiscard]] microseconds CountingFor(instant now) const;
    [[nodiscard]] bool Live(instant now) const {
      return sent_at > instant() && now - sent_at < kUsageLease;
    }
  };

  // The keepers whose newest grants are valid. What young ones say counts only
  // if there are no others.
  struct live_keepers {
    const keeper_view* first = nullptr;
    std::size_t count = 0;
    bool exceeded = false;
  };

  [[nodiscard]] bool IsYoung(const keeper_view& view, instant now) const;
  [[nodiscard]] live_keepers LiveOf(const usage_surroundings& around,
                                    instant now) const;
  [[nodiscard]] const keeper_view* PressedView(const usage_surroundings& around,
                                               instant now) const;
  [[nodiscard]] double AheadAt(const usage_limit& limit,
                               const usage_surroundings& around,
                               instant now) const;
  void Count(const usage_limit& limit, instant now);
  usage_decision Refuse(const usage_limit& limit,
                        const usage_surroundings& around, instant now);
  [[nodiscard]] bool IsCounted(const usage_surroundings& around,
                               instant now) const;
  [[nodiscard]] double AheadOf(const usage_surroundings& around,
                               instant now) const;
  void ReportBy(instant when);

  std::map<endpoint, keeper_view> views_;
  std::uint64_t admitted_ = 0;
  std::uint64_t returned_ = 0;  // counted requests that were not sent
  instant returned_at_;
  usage_counter admissions_;
  usage_counter arrivals_;
  usage_bucket own_;
  // Whether the keepers have counted all that was admitted, and have not said
  // that the limit is nearly used up.
  bool counted_ = false;
  double ahead_ = kFirstAhead;
  instant ahead_at_;
  instant arrived_at_;
  // When the oldest report was sent that too few keepers have answered; the
  // origin: none.
  instant unanswered_since_;
  instant report_at_ = kNever;
  int retries_ = 0;
};

}  // namespace basilhoist
