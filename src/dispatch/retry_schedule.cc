#include "basilhoist/dispatch/retry_schedule.h"

namespace basilhoist {
namespace {

// Longest time that a call waits for a blocked server. Covers a server without
// a free connection and a full one, but not one that is avoided for longer.
constexpr milliseconds kMaxBlockedWait{30};

}  // namespace

void retry_schedule::BeginAttempt() {
  earliest_unblock_ = {};
  earliest_retry_ = {};
  blocks_ = {};
}

void retry_schedule::OnRejected(std::uint64_t server, instant until) {
  ++rejections_;
  rejected_until_[server] = until;
}

bool retry_schedule::MustWait(std::uint64_t server, instant now) {
  const auto rejected = rejected_until_.find(server);
  if (rejected == rejected_until_.end() || rejected->second <= now) {
    return false;
  }
  RetryAt(rejected->second);
  return true;
}

void retry_schedule::OnBlocked(const send_decision& decision, instant now) {
  ++blocks_.at(static_cast<std::size_t>(decision.block));
  if (!decision.IsTemporary(now)) return;
  earliest_unblock_ = earliest_unblock_ > now
                          ? std::min(earliest_unblock_, decision.until)
                          : decision.until;
}

void retry_schedule::RetryAt(instant when) {
  if (when >= deadline_) return;
  earliest_retry_ =
      earliest_retry_ == instant() ? when : std::min(earliest_retry_, when);
}

std::optional<instant> retry_schedule::WaitUntil(instant now) {
  std::optional<instant> until;
  if (earliest_unblock_ > now && MayWaitForUnblock(now)) {
    until = earliest_unblock_;
  }
  if (earliest_retry_ > now) {
    until = until ? std::min(*until, earliest_retry_) : earliest_retry_;
  }
  return until;
}

// Servers with a rate limit may be blocked again and again by other calls, so
// the waits for them are limited together.
bool retry_schedule::MayWaitForUnblock(instant now) {
  if (earliest_unblock_ - now > kMaxBlockedWait) return false;
  if (blocks_.at(static_cast<std::size_t>(send_block::kRateLimited)) == 0) {
    return true;
  }
  if (limited_since_ == instant()) limited_since_ = now;
  return earliest_unblock_ - limited_since_ <= kMaxBlockedWait;
}

}  // namespace basilhoist
