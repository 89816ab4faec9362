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
struct stated_wait {
  milliseconds wait{0};
  /// The header could not be read, or was cut to the longest wait.
  bool doubtful = false;

  auto operator<=>(const stated_wait&) const = default;
};

/// @param text of a Retry-After header
/// @return the wait; kUnreadableWait for a date and for anything else that is
///   no number of seconds from 0 on
stated_wait ReadRetryAfter(std::string_view text);

/// Keeps notices by server run, longer than the run may be missing from the
/// list of servers. Only this instance acts on them, so that one wrong answer
/// takes a server from one instance only.
class server_notices {
 public:
  /// Longest wait that is believed at once; a server that wants a longer one
  /// says so again.
  static constexpr milliseconds kLongestWait{60000};
  /// Where a server asked for a wait that cannot be read.
  static constexpr milliseconds kUnreadableWait{1000};
  /// A server that said that it leaves is tried again after so long; a drain
  /// takes seconds, in rare cases minutes.
  static constexpr milliseconds kLeavingFor{600000};
  /// A relay's word of a leaving server is believed so long.
  static constexpr milliseconds kHearsayFor{10000};
  /// After a wait one request goes first; if it has no reply within this time
  /// the others go as well.
  static constexpr milliseconds kFirstReplyWithin{1000};

  /// The server said that it leaves.
  /// @return whether that is news
  bool OnLeaving(std::uint64_t run, instant now);

  /// The server refused a request and asked to be left alone.
  void OnWait(std::uint64_t run, milliseconds wait, instant now);

  /// A request is sent to the server.
  void OnSent(std::uint64_t run, instant now);

  /// The server replied without asking to be left alone.
  void OnTaken(std::uint64_t run);

  /// A relay's word.
  void Hear(const server_notice& notice, instant now);

  /// @return whether the server said that it leaves
  [[nodiscard]] bool Leaving(std::uint64_t run, instant now) const;

  /// @return until when the server must be left alone; the past if it need not
  [[nodiscard]] instant QuietUntil(std::uint64_t run, instant now) const;

  /// @return what an instance that sent a batch should know of the server
  [[nodiscard]] std::optional<server_notice> NoticeOf(std::uint64_t run,
                                                      instant now) const;

 private:
  struct record {
    instant leaving_until;
    instant quiet_until;
    instant first_sent;    // the first request after a wait
    bool waiting = false;  // no reply since the last wait was stated
  };

  void Forget(instant now);

  std::map<std::uint64_t, record> records_;
};

}  // namespace basilhoist
