#include "basilhoist/dispatch/server_notices.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace basilhoist {

stated_wait ReadRetryAfter(std::string_view text) {
  double seconds = 0;
  const char* end = text.data() + text.size();
  const auto read =
      std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  if (read.ec != std::errc() || read.ptr != end || !std::isfinite(seconds) ||
      seconds < 0) {
    return {.wait = server_notices::kUnreadableWait, .doubtful = true};
  }
  const double longest =
      std::chrono::duration<double>(server_notices::kLongestWait).count();
  if (seconds > longest) {
    return {.wait = server_notices::kLongestWait, .doubtful = true};
  }
  return {.wait = std::chrono::ceil<milliseconds>(
              std::chrono::duration<double>(seconds))};
}

bool server_notices::OnLeaving(std::uint64_t run, instant now) {
  Forget(now);
  record& known = records_[run];
  const bool news = now >= known.leaving_until;
  known.leaving_until = now + kLeavingFor;
  return news;
}

// Replies may arrive out of order; the latest end holds.
void server_notices::OnWait(std::uint64_t run, milliseconds wait, instant now) {
  Forget(now);
  record& known = records_[run];
  known.quiet_until = std::max(known.quiet_until, now + wait);
  known.first_sent = {};
  known.waiting = true;
}

void server_notices::OnSent(std::uint64_t run, instant now) {
  if (records_.empty()) return;
  const auto found = records_.find(run);
  if (found == records_.end() || !found->second.waiting) return;
  if (now >= found->second.quiet_until) found->second.first_sent = now;
}

// A reply to an earlier request ends no wait.
void server_notices::OnTaken(std::uint64_t run) {
  if (records_.empty()) return;
  const auto found = records_.find(run);
  if (found == records_.end()) return;
  if (found->second.first_sent > instant()) found->second.waiting = false;
}

void server_notices::Hear(const server_notice& notice, instant now) {
  Forget(now);
  record& known = records_[notice.run];
  if (notice.leaving) {
    known.leaving_until = std::max(known.leaving_until, now + kHearsayFor);
  }
  const milliseconds wait =
      std::min(milliseconds(notice.quiet_ms), kLongestWait);
  if (wait > milliseconds(0)) {
    known.quiet_until = std::max(known.quiet_until, now + wait);
  }
}

bool server_notices::Leaving(std::uint64_t run, instant now) const {
  if (records_.empty()) return false;
  const auto found = records_.find(run);
  return found != records_.end() && now < found->second.leaving_until;
}

instant server_notices::QuietUntil(std::uint64_t run, instant now) const {
  if (records_.empty()) return {};
  const auto found = records_.find(run);
  if (found == records_.end()) return {};
  const record& known = found->second;
  const bool first_is_out = known.waiting && known.first_sent > instant() &&
                            now < known.first_sent + kFirstReplyWithin;
  return first_is_out ? known.first_sent + kFirstReplyWithin
                      : known.quiet_until;
}

std::optional<server_notice> server_notices::NoticeOf(std::uint64_t run,
                                                      instant now) const {
  const bool leaving = Leaving(run, now);
  const instant quiet_until = QuietUntil(run, now);
  if (!leaving && now >= quiet_until) return std::nullopt;
  return server_notice{
      .run = run,
      .leaving = leaving,
      .quiet_ms = static_cast<std::uint32_t>(
          std::max<std::int64_t>(0, CeilMilliseconds(quiet_until - now)))};
}

void server_notices::Forget(instant now) {
  std::erase_if(records_, [now](const auto& entry) {
    const record& known = entry.second;
    return now >= known.leaving_until &&
           now >= known.quiet_until + kLongestWait;
  });
}

}  // namespace basilhoist
