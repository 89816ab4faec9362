#include "basilhoist/dispatch/server_notices.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace basilhoist {

advertised_wait ParseRetryAfter(std::string_view text) {
  double seconds = 0;
  const char* end = text.data() + text.size();
  const auto read =
      std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  if (read.ec != std::errc() || read.ptr != end || !std::isfinite(seconds) ||
      seconds < 0) {
    return {.wait = server_notices::kFallbackWait, .adjusted = true};
  }
  const double max_seconds =
      std::chrono::duration<double>(server_notices::kMaxWait).count();
  if (seconds > max_seconds) {
    return {.wait = server_notices::kMaxWait, .adjusted = true};
  }
  return {.wait = std::chrono::ceil<milliseconds>(
              std::chrono::duration<double>(seconds))};
}

bool server_notices::OnShuttingDown(std::uint64_t incarnation, instant now) {
  RemoveExpired(now);
  record& current = records_[incarnation];
  const bool is_first = now >= current.shutting_down_until;
  current.shutting_down_until = now + kShutdownNoticeLifetime;
  current.shutdown_relayed = false;
  return is_first;
}

// Replies may arrive out of order, so the latest end of a pause applies.
void server_notices::OnPauseRequested(std::uint64_t incarnation,
                                      milliseconds wait, instant now) {
  RemoveExpired(now);
  record& current = records_[incarnation];
  current.paused_until = std::max(current.paused_until, now + wait);
  current.probe_sent_at = {};
  current.probe_pending = true;
}

void server_notices::OnSent(std::uint64_t incarnation, instant now) {
  if (records_.empty()) return;
  const auto found = records_.find(incarnation);
  if (found == records_.end() || !found->second.probe_pending) return;
  if (now >= found->second.paused_until) found->second.probe_sent_at = now;
}

// A reply that arrives before a probe was sent belongs to an earlier request
// and does not end the pause.
void server_notices::OnAccepted(std::uint64_t incarnation) {
  if (records_.empty()) return;
  const auto found = records_.find(incarnation);
  if (found == records_.end()) return;
  if (found->second.probe_sent_at > instant()) {
    found->second.probe_pending = false;
  }
}

bool server_notices::OnRelayedNotice(const server_notice& notice, instant now) {
  if (!notice.leaving && notice.quiet_ms == 0) return false;
  RemoveExpired(now);
  record& current = records_[notice.run];
  const bool is_first = notice.leaving && now >= current.shutting_down_until;
  if (is_first || (notice.leaving && current.shutdown_relayed)) {
    current.shutting_down_until = now + kShutdownNoticeLifetime;
    current.shutdown_relayed = true;
  }
  const milliseconds wait = std::min(milliseconds(notice.quiet_ms), kMaxWait);
  if (wait > milliseconds(0)) {
    current.paused_until = std::max(current.paused_until, now + wait);
  }
  return is_first;
}

bool server_notices::IsShuttingDown(std::uint64_t incarnation,
                                    instant now) const {
  if (records_.empty()) return false;
  const auto found = records_.find(incarnation);
  return found != records_.end() && now < found->second.shutting_down_until;
}

instant server_notices::PausedUntil(std::uint64_t incarnation,
                                    instant now) const {
  if (records_.empty()) return {};
  const auto found = records_.find(incarnation);
  if (found == records_.end()) return {};
  const record& current = found->second;
  const bool probe_in_flight = current.probe_pending &&
                               current.probe_sent_at > instant() &&
                               now < current.probe_sent_at + kProbeTimeout;
  return probe_in_flight ? current.probe_sent_at + kProbeTimeout
                         : current.paused_until;
}

std::optional<server_notice> server_notices::NoticeFor(
    std::uint64_t incarnation, instant now) const {
  if (records_.empty()) return std::nullopt;
  const auto found = records_.find(incarnation);
  if (found == records_.end()) return std::nullopt;
  const bool shutting_down = now < found->second.shutting_down_until &&
                             !found->second.shutdown_relayed;
  const instant paused_until = PausedUntil(incarnation, now);
  if (!shutting_down && now >= paused_until) return std::nullopt;
  return server_notice{
      .run = incarnation,
      .leaving = shutting_down,
      .quiet_ms = static_cast<std::uint32_t>(
          std::max<std::int64_t>(0, CeilMilliseconds(paused_until - now)))};
}

void server_notices::RemoveExpired(instant now) {
  std::erase_if(records_, [now](const auto& entry) {
    const record& current = entry.second;
    return now >= current.shutting_down_until &&
           now >= current.paused_until + kMaxWait;
  });
}

}  // namespace basilhoist
