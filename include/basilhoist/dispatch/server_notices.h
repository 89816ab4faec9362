// What backend servers say of themselves in their answers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/link/messages.h"

namespace basilhoist {

/// How long a server wants to be left alone.
struct advertised_wait {
  milliseconds wait{0};
  /// The header could not be read, or was cut to the longest wait.
  bool adjusted = false;

  auto operator<=>(const advertised_wait&) const = default;
};

/// @param text of a Retry-After header
/// @return the wait; kFallbackWait for a date and for anything else that is
///   no number of seconds from 0 on
advertised_wait ParseRetryAfter(std::string_view text);

/// Keeps notices by server run, longer than the run may be missing from the
/// list of servers. Only this instance acts on them, so that one wrong answer
/// takes a server from one instance only.
class server_notices {
 public:
  /// Longest wait that is believed at once; a server that wants a longer one
  /// says so again.
  static constexpr milliseconds kMaxWait{60000};
  /// Where a server asked for a wait that cannot be read.
  static constexpr milliseconds kFallbackWait{1000};
  /// A server that said that it leaves is tried again after so long; a drain
  /// takes seconds, in rare cases minutes.
  static constexpr milliseconds kShutdownNoticeLifetime{600000};
  /// A relay's word of a leaving server is believed so long.
  static constexpr milliseconds kRelayedNoticeLifetime{10000};
  /// After a wait one request goes first; if it has no reply within this time
  /// the others go as well.
  static constexpr milliseconds kProbeTimeout{1000};

  /// The server said that it leaves.
  /// @return whether that is news
  bool OnShuttingDown(std::uint64_t incarnation, instant now);

  /// The server refused a request and asked to be left alone.
  void OnPauseRequested(std::uint64_t incarnation, milliseconds wait,
                        instant now);

  /// A request is sent to the server.
  void OnSent(std::uint64_t incarnation, instant now);

  /// The server replied without asking to be left alone.
  void OnAccepted(std::uint64_t incarnation);

  /// A relay's word.
  void OnRelayedNotice(const server_notice& notice, instant now);

  /// @return whether the server said that it leaves
  [[nodiscard]] bool IsShuttingDown(std::uint64_t incarnation,
                                    instant now) const;

  /// @return until when the server must be left alone; the past if it need not
  [[nodiscard]] instant PausedUntil(std::uint64_t incarnation,
                                    instant now) const;

  /// @return what an instance that sent a batch should know of the server
  [[nodiscard]] std::optional<server_notice> NoticeFor(
      std::uint64_t incarnation, instant now) const;

 private:
  struct record {
    instant shutting_down_until;
    instant paused_until;
    instant probe_sent_at;       // the first request after a wait
    bool probe_pending = false;  // no reply since the last wait was stated
  };

  void RemoveExpired(instant now);

  std::map<std::uint64_t, record> records_;
};

}  // namespace basilhoist
