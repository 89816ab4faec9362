// When a call may send again to servers that are blocked or have rejected it.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>

#include "basilhoist/base/clock.h"
#include "basilhoist/dispatch/send_block.h"

namespace basilhoist {

/// The servers of one call that cannot be sent to now.
class retry_schedule {
 public:
  /// @param deadline of the call; nothing is retried at or after it
  explicit retry_schedule(instant deadline) : deadline_(deadline) {}

  /// Forgets which servers the last attempt to send found blocked.
  void BeginAttempt();

  /// Called when a server has rejected the request.
  /// @param until when the server may be tried again
  void OnRejected(std::uint64_t server, instant until);

  /// @return whether a server that rejected the request is left alone now; if
  ///   so, it counts for EarliestRetry
  bool MustWait(std::uint64_t server, instant now);

  /// Called for each server that is blocked in an attempt to send.
  void OnBlocked(const send_decision& decision, instant now);

  /// Sets the time of the next attempt, unless an earlier one is known or it
  /// would be too late.
  void RetryAt(instant when);

  /// @return whether a later attempt may succeed
  [[nodiscard]] bool HasLaterChance(instant now) const {
    return std::max(earliest_unblock_, earliest_retry_) > now;
  }

  /// @return until when to wait for a server instead of giving up
  std::optional<instant> WaitUntil(instant now);

  /// @return when the first blocked server may be tried
  [[nodiscard]] instant EarliestUnblock() const { return earliest_unblock_; }
  /// @return when the first server that rejected the request may be tried; a
  ///   time in the past if none may be
  [[nodiscard]] instant EarliestRetry() const { return earliest_retry_; }
  [[nodiscard]] unsigned Rejections() const { return rejections_; }

  /// @return servers skipped in the last attempt to send, by send_block
  [[nodiscard]] const std::array<unsigned, kSendBlockCount>& Blocks() const {
    return blocks_;
  }

 private:
  [[nodiscard]] bool MayWaitForUnblock(instant now);

  instant deadline_;
  unsigned rejections_ = 0;
  // By key of a server that rejected the request: when it may be tried again.
  std::map<std::uint64_t, instant> rejected_until_;
  instant earliest_retry_;    // when the first of these servers may be tried
  instant earliest_unblock_;  // when the first blocked server may be tried
  instant limited_since_;     // first wait for a server with a rate limit
  std::array<unsigned, kSendBlockCount> blocks_{};
};

}  // namespace basilhoist
