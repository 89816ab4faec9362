// Keeps the counts of workspaces and grants requests to instances.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "basilhoist/base/endpoint.h"
#include "basilhoist/link/messages.h"
#include "basilhoist/usage/usage_policy.h"

namespace basilhoist {

/// Adds up what the instances report of each workspace, and divides what is
/// left of its limit among them by their demand. Each workspace has several
/// keepers, which count the same requests and do not talk to each other.
class usage_keeper {
 public:
  /// An instance that has not reported for this time is forgotten.
  static constexpr milliseconds kMemory{30000};
  /// A limit counts as nearly used up when less than this part of the burst is
  /// left, within the bounds that follow.
  static constexpr double kPressedPart = 0.2;
  static constexpr double kMinPressed = 1;
  static constexpr double kMaxPressed = 10;
  /// Requests that an instance may admit ahead of a grant: one, with so many
  /// left two, and with so many left three.
  static constexpr double kLeftForTwo = 2;
  static constexpr double kLeftForThree = 10;
  /// Requests above the limit from which on no instance may use any grant. It
  /// is reached only if two keepers grant at the same time.
  static constexpr double kMaxDebt = 4;

  using notice_list = std::vector<std::pair<endpoint, usage_answer>>;

  /// @param begun when this process began
  explicit usage_keeper(instant begun) : begun_(begun) {}

  /// Called with what an instance reports of one workspace.
  /// @param from address where the instance takes the answer
  usage_grant OnReport(const endpoint& from, const usage_report& header,
                       const usage_demand& demand, instant now);

  /// @return what OnReport would return now; counts nothing
  [[nodiscard]] usage_grant PreviewReport(const endpoint& from,
                                          const usage_report& header,
                                          const usage_demand& demand,
                                          instant now) const;

  /// @return what instances that have not reported lately must know: that the
  ///   limit of a workspace is nearly used up, or not any more
  notice_list NextNotices(instant now);

  /// @return whether NextNotices may have something to tell soon
  [[nodiscard]] bool HasPressed() const { return !pressed_.empty(); }

  /// @return when the first of these limits is not nearly used up any more,
  ///   as far as NextNotices has seen
  [[nodiscard]] instant ReleaseAt() const { return release_at_; }

  void RemoveIdle(instant now);

  /// @return number of workspaces
  [[nodiscard]] std::size_t Size() const { return accounts_.size(); }
  [[nodiscard]] std::size_t PressedCount() const { return pressed_.size(); }

 private:
  struct reporter {
    std::uint64_t incarnation = 0;
    std::uint64_t sent_us = 0;
    std::uint32_t sequence = 0;
    std::uint64_t admitted = 0;
    double arrived = 0;  // in the second before heard_at
    std::uint64_t granted = 0;
    instant lease_until;
    // An earlier and higher grant. The instance may not have received the
    // answer that lowered it.
    std::uint64_t granted_before = 0;
    instant lease_before_until;
    bool waiting = false;       // nothing was granted
    bool told_pressed = false;  // in the last answer
    instant heard_at;
    instant noticed_at;

    [[nodiscard]] double Outstanding(instant now) const;
    [[nodiscard]] double DemandAt(instant now) const;
  };

  struct account {
    usage_limit limit;
    std::uint64_t version = 0;
    instant since;  // its first report
    usage_bucket bucket;
    std::map<endpoint, reporter> reporters;
  };

  // What the other instances have been granted and ask for.
  struct others {
    double outstanding = 0;
    double demand = 0;
    double waiting = 0;
  };

  static void Count(account& kept, reporter& source, const usage_report& header,
                    const usage_demand& demand, instant now);
  static others OthersOf(const account& kept, const endpoint& from,
                         instant now);
  static void Grant(account& kept, reporter& source, const others& rest,
                    instant now);
  static void AppendNotices(std::uint64_t key, account& kept, bool released,
                            notice_list& notices, instant now);
  static std::uint8_t AheadOf(double tokens);
  static bool Young(const account& kept, instant now);
  static double PressedLevel(const usage_limit& limit);
  static bool Pressed(const account& kept, instant now);
  static instant ReleaseOf(const account& kept, instant now);
  static usage_grant AnswerOf(std::uint64_t key, const account& kept,
                              reporter& source, const others& rest,
                              instant now);

  instant begun_;
  std::unordered_map<std::uint64_t, account> accounts_;  // by workspace
  std::set<std::uint64_t> pressed_;                      // workspaces
  instant release_at_;
};

}  // namespace basilhoist
