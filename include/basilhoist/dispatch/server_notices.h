// What backend servers announce about themselves in their replies: that they
// are shutting down, or that they ask for a pause.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/link/messages.h"

namespace basilhoist {

/// The pause that a server asks for.
struct advertised_wait {
  milliseconds wait{0};
  /// The wait differs from the header's value, which was unreadable or longer
  /// than the maximum.
  bool adjusted = false;

  auto operator<=>(const advertised_wait&) const = default;
};

/// Parses the value of a Retry-After header.
/// @return the wait; kFallbackWait for a date and for anything else that is not
///   a non-negative number of seconds
advertised_wait ParseRetryAfter(std::string_view text);

/// Keeps notices by server incarnation, for longer than an incarnation may be
/// missing from the list of servers. Notices apply to the instances that passed
/// on a reply with them, the relay and its sender, so that one wrong reply
/// removes a server from their choice only.
class server_notices {
 public:
  /// Longest wait that is honored at once. A server that wants a longer one
  /// asks again.
  static constexpr milliseconds kMaxWait{60000};
  /// Used if a server asks for a wait that cannot be parsed.
  static constexpr milliseconds kFallbackWait{1000};
  /// A server that announced its shutdown is tried again after this time. A
  /// drain takes seconds, in rare cases minutes.
  static constexpr milliseconds kShutdownNoticeLifetime{600000};
  /// After a pause a single request is sent as a probe. If it has no reply
  /// within this time, other requests are sent as well.
  static constexpr milliseconds kProbeTimeout{1000};

  /// Called when the server announces its shutdown.
  /// @return whether no such announcement was in effect
  bool OnShuttingDown(std::uint64_t incarnation, instant now);

  /// Called when the server refuses a request and asks for a pause.
  void OnPauseRequested(std::uint64_t incarnation, milliseconds wait,
                        instant now);

  /// Called when a request is sent to the server.
  void OnSent(std::uint64_t incarnation, instant now);

  /// Called when the server replies without asking for a pause.
  void OnAccepted(std::uint64_t incarnation);

  /// Called when a relay passes on a notice of a server.
  /// @return whether it announces a shutdown and no announcement was in effect
  bool OnRelayedNotice(const server_notice& notice, instant now);

  /// Returns whether an announced shutdown of the server is in effect.
  [[nodiscard]] bool IsShuttingDown(std::uint64_t incarnation,
                                    instant now) const;

  /// Returns until when nothing must be sent to the server; a time in the past
  /// if sends are allowed.
  [[nodiscard]] instant PausedUntil(std::uint64_t incarnation,
                                    instant now) const;

  /// Returns the notice to pass on to an instance that sent a batch here, if
  /// there is one. A shutdown that another relay announced is not passed on:
  /// instances that tell each other would never forget it.
  [[nodiscard]] std::optional<server_notice> NoticeFor(
      std::uint64_t incarnation, instant now) const;

 private:
  struct record {
    instant shutting_down_until;
    bool shutdown_relayed = false;  // no reply of the server itself said so
    instant paused_until;
    instant probe_sent_at;       // last request sent since the last pause ended
    bool probe_pending = false;  // no reply since the last pause was requested
  };

  void RemoveExpired(instant now);

  std::map<std::uint64_t, record> records_;
};

}  // namespace basilhoist
