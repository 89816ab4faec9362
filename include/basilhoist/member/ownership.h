// Who may send to a backend server, and since when. Pure: no sockets.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/link/messages.h"
#include "basilhoist/member/member_view.h"

namespace basilhoist {

/// Spans that ownership rests on; all instances use the same.
struct ownership_options {
  /// A grant counts for this long after the heartbeat that it answers.
  microseconds lease = milliseconds(1500);
  /// A member that was silent for this long is fenced.
  microseconds silence = milliseconds(1000);
  /// Longest time that a sub-request can run on a backend server.
  microseconds longest_attempt = milliseconds(1000);
  /// Allowance for clocks that run at different speeds.
  microseconds clock_margin = milliseconds(100);
};

/// A backend server as far as ownership goes.
struct owned_server {
  std::string name;
  std::string failure_domain;

  auto operator<=>(const owned_server&) const = default;
};

/// Decides, in one instance, which backend servers it may send to.
///
/// Epochs come from the platform's store. Within an epoch a member may act
/// only while a majority of the epoch's members has acknowledged a heartbeat
/// of it that is no older than the lease. A member that was silent is fenced:
/// those that noticed never acknowledge it again in this epoch, and when they
/// are a majority, the next in the server's order takes over after the lease
/// and the longest attempt have passed.
class ownership {
 public:
  ownership(member self, ownership_options options);

  /// Takes a view from whatever source; an older one is ignored.
  /// @return whether it was newer
  bool OnView(const member_view& view, instant now);

  void OnHeartbeat(const heartbeat& beat, instant now);

  /// Fences members that were silent for too long.
  void OnTime(instant now);

  /// @return the heartbeat to send to a peer now
  [[nodiscard]] heartbeat MakeHeartbeat(const std::string& peer,
                                        instant now) const;

  /// @return whether a majority acknowledges this member now
  [[nodiscard]] bool LeaseValid(instant now) const;

  /// @return whether this member may send to the server at this instant
  [[nodiscard]] bool MaySend(const owned_server& server, instant now);

  /// Tells that nothing of ours runs on a server that went to another owner.
  void Release(const std::string& server);

  /// @return servers that this member acted for in the epoch before, which
  ///     it may no longer send to and has not released
  [[nodiscard]] std::vector<std::string> ToRelease() const;

  /// Takes up whatever it may send to now, so that servers without traffic
  /// are handed over like all others.
  void TakeUp(const std::vector<owned_server>& servers, instant now);

  /// Gives up every server for good; nothing of ours may run on any.
  /// @param servers all of the site's servers
  void Retire(const std::vector<owned_server>& servers, instant now);

  /// @return the member that acts for the server, as far as known here
  [[nodiscard]] std::string OwnerOf(const owned_server& server) const;

  /// @return whether a majority of the epoch before has moved to this one, so
  ///     that the next epoch may be proposed
  [[nodiscard]] bool Settled() const;

  /// @return members that a majority has fenced, or that have retired
  [[nodiscard]] std::set<std::string> Out() const;

  /// A process of this view or the one before has ended for certain: the
  /// platform lists its instance no more, or a later incarnation has taken
  /// its place at the same address.
  void OnEnded(const member& ended, instant now);

  [[nodiscard]] const member_view& View() const { return view_; }
  [[nodiscard]] const member& Self() const { return self_; }
  [[nodiscard]] bool IsMember() const;

 private:
  struct peer_state {
    instant last_heard;
    std::int64_t last_sent_at_us = 0;  // to echo
    instant granted_until;
    std::set<std::string> fenced;  // that it reported in this epoch
    bool retired = false;
    bool fenced_by_us = false;
  };
  // What a member of the epoch before said when it joined this epoch.
  struct move {
    bool reported = false;  // by the member itself, not by its end
    std::set<std::string> previous_fenced;
    std::set<std::string> released;
  };

  [[nodiscard]] std::size_t Majority() const;
  [[nodiscard]] std::size_t PreviousMajority() const;
  [[nodiscard]] bool IsOut(const std::string& name) const;
  [[nodiscard]] bool IsCurrent(const std::string& name,
                               std::uint64_t incarnation) const;
  [[nodiscard]] bool WasMember(const std::string& name,
                               std::uint64_t incarnation) const;
  [[nodiscard]] const std::vector<std::string>& Order(
      const owned_server& server) const;
  [[nodiscard]] bool PredecessorsGone(const std::vector<std::string>& order,
                                      instant now) const;
  [[nodiscard]] bool PreviousOwnersGone(const std::string& server,
                                        instant now) const;
  [[nodiscard]] bool ClearedBy(const std::string& holder) const;
  [[nodiscard]] microseconds Wait() const;
  [[nodiscard]] std::set<std::string> FencedByUs() const;
  void NoteMove(const std::string& name, move what, instant now);
  void NoteFences(instant now);

  member self_;
  ownership_options options_;
  member_view view_;
  instant last_time_;
  bool retired_ = false;
  std::map<std::string, peer_state> peers_;
  std::map<std::string, instant> out_since_;  // fenced by a majority
  std::set<member> ended_;

  // About the change from the epoch before.
  bool came_from_previous_ = false;
  std::set<std::string> own_previous_fenced_;
  std::set<std::string> held_before_;  // servers acted for when it ended
  std::set<std::string> released_;     // of those, handed over
  std::map<std::string, move> moves_;
  std::optional<instant> moved_at_;  // a majority had moved
  std::set<std::string> cleared_;    // known free of owners of epoch - 1
  std::set<std::string> holding_;    // servers acted for in this epoch
  std::map<std::string, std::string> failure_domains_;
  mutable std::map<owned_server, std::vector<std::string>> orders_;
};

}  // namespace basilhoist
