#include "basilhoist/dispatch/cold_start_limiter.h"

#include <algorithm>

namespace basilhoist {

bool cold_start_limiter::Allows(std::uint64_t server,
                                const cold_start_limit& limit,
                                instant now) const {
  if (limit.rate_per_s <= 0) return true;
  const std::size_t senders = std::min(kMaxSenders, limit.instances);
  if (limit.rank >= senders) return false;
  const auto found = last_sent_.find(server);
  if (found == last_sent_.end()) return true;
  const double interval_us =
      1e6 * static_cast<double>(senders) / limit.rate_per_s;
  return now - found->second >=
         microseconds(static_cast<std::int64_t>(interval_us));
}

}  // namespace basilhoist
