#include "basilhoist/dispatch/retry_budget.h"

#include <algorithm>

namespace basilhoist {

void retry_budget::OnRequest(instant now, milliseconds window) {
  Advance(now, window);
  ++buckets_[static_cast<std::size_t>(last_) % buckets_.size()].requests;
  ++requests_;
}

bool retry_budget::Spend(const retry_budget_options& options, double part,
                         instant now) {
  Advance(now, options.window);
  if (extras_ + 1 > Allowed(options, part)) return false;
  ++buckets_[static_cast<std::size_t>(last_) % buckets_.size()].extras;
  ++extras_;
  return true;
}

void retry_budget::Refund() {
  auto& current = buckets_[static_cast<std::size_t>(last_) % buckets_.size()];
  if (current.extras == 0) return;
  --current.extras;
  --extras_;
}

double retry_budget::Pressure(const retry_budget_options& options, double part,
                              instant now) {
  Advance(now, options.window);
  const double allowed = Allowed(options, part);
  return allowed <= 0 ? 1 : std::min(1.0, extras_ / allowed);
}

double retry_budget::Allowed(const retry_budget_options& options,
                             double part) const {
  return kUsedShare * (options.ratio * requests_ + options.fixed * part);
}

void retry_budget::Advance(instant now, milliseconds window) {
  const auto width = std::max<std::int64_t>(
      1, microseconds(window).count() / static_cast<std::int64_t>(kBuckets));
  const std::int64_t current = now.SinceBoot().count() / width;
  const auto size = static_cast<std::int64_t>(buckets_.size());
  for (std::int64_t steps = std::min(current - last_, size); steps > 0;
       --steps) {
    bucket& oldest = buckets_[static_cast<std::size_t>(current - steps + 1) %
                              buckets_.size()];
    requests_ -= oldest.requests;
    extras_ -= oldest.extras;
    oldest = {};
  }
  last_ = std::max(last_, current);
}

}  // namespace basilhoist
