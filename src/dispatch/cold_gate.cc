#include "basilhoist/dispatch/cold_gate.h"

#include <algorithm>

namespace basilhoist {

bool cold_gate::May(std::uint64_t server, const cold_limit& limit,
                    instant now) const {
  if (limit.rate_per_s <= 0) return true;
  const std::size_t senders = std::min(kSenders, limit.instances);
  if (limit.rank >= senders) return false;
  const auto found = last_.find(server);
  if (found == last_.end()) return true;
  const double gap_us = 1e6 * static_cast<double>(senders) / limit.rate_per_s;
  return now - found->second >= microseconds(static_cast<std::int64_t>(gap_us));
}

}  // namespace basilhoist
