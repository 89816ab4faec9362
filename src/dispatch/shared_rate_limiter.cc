#include "basilhoist/dispatch/shared_rate_limiter.h"

#include <algorithm>

namespace basilhoist {
namespace {

// Longest wait for a request, in microseconds: an hour. Lower rates than one
// request in this time are not told apart.
constexpr double kMaxWaitUs = 3.6e9;

// Requests per microsecond of one sender.
double SenderRate(const shared_rate& rate) {
  return rate.per_s / 1e6 / static_cast<double>(rate.Senders());
}

// Requests that one sender may be ahead of its rate.
double SenderBurst(const shared_rate& rate) {
  return std::max(1.0, rate.burst / static_cast<double>(rate.Senders()));
}

}  // namespace

std::size_t shared_rate::Senders() const {
  const double most = std::clamp(
      burst, 1.0, static_cast<double>(std::max<std::size_t>(1, instances)));
  return static_cast<std::size_t>(most);
}

std::optional<instant> shared_rate_limiter::NextSend(std::uint64_t server,
                                                     const shared_rate& rate,
                                                     instant now) const {
  if (rate.per_s <= 0) return now;
  if (rate.rank >= rate.Senders()) return std::nullopt;
  const double missing = 1 - TokensAt(server, rate, now);
  if (missing <= 0) return now;
  // Rounded up, so that the token is complete at that time.
  const double wait_us = std::min(missing / SenderRate(rate), kMaxWaitUs);
  return now + microseconds(1 + static_cast<std::int64_t>(wait_us));
}

void shared_rate_limiter::OnSent(std::uint64_t server, const shared_rate& rate,
                                 instant now) {
  if (rate.per_s <= 0) return;
  buckets_[server] = {.tokens = TokensAt(server, rate, now) - 1, .at = now};
}

void shared_rate_limiter::Exhaust(std::uint64_t server, instant now) {
  buckets_[server] = {.tokens = 0, .at = now};
}

double shared_rate_limiter::TokensAt(std::uint64_t server,
                                     const shared_rate& rate,
                                     instant now) const {
  const double most = SenderBurst(rate);
  const auto found = buckets_.find(server);
  if (found == buckets_.end()) return most;
  const auto age = static_cast<double>((now - found->second.at).count());
  return std::min(most, found->second.tokens + age * SenderRate(rate));
}

}  // namespace basilhoist
