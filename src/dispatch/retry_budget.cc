#include "basilhoist/dispatch/retry_budget.h"

#include <algorithm>

namespace basilhoist {

void retry_budget::OnRequest(instant now, milliseconds window) {
  AdvanceTo(now, window);
  ++buckets_[static_cast<std::size_t>(newest_bucket_) % buckets_.size()]
        .requests;
  ++requests_;
}

bool retry_budget::Spend(const retry_budget_options& options, double share,
                         instant now) {
  AdvanceTo(now, options.window);
  if (extra_sends_ + 1 > Limit(options, share)) return false;
  ++buckets_[static_cast<std::size_t>(newest_bucket_) % buckets_.size()]
        .extra_sends;
  ++extra_sends_;
  return true;
}

void retry_budget::Refund() {
  auto& current =
      buckets_[static_cast<std::size_t>(newest_bucket_) % buckets_.size()];
  if (current.extra_sends == 0) return;
  --current.extra_sends;
  --extra_sends_;
}

double retry_budget::Utilization(const retry_budget_options& options,
                                 double share, instant now) {
  AdvanceTo(now, options.window);
  const double limit = Limit(options, share);
  return limit <= 0 ? 1 : std::min(1.0, extra_sends_ / limit);
}

double retry_budget::Limit(const retry_budget_options& options,
                           double share) const {
  return kUsableShare * (options.ratio * requests_ + options.fixed * share);
}

void retry_budget::AdvanceTo(instant now, milliseconds window) {
  const auto width = std::max<std::int64_t>(
      1, microseconds(window).count() / static_cast<std::int64_t>(kBuckets));
  const std::int64_t current = now.SinceBoot().count() / width;
  const auto size = static_cast<std::int64_t>(buckets_.size());
  for (std::int64_t steps = std::min(current - newest_bucket_, size); steps > 0;
       --steps) {
    bucket& oldest = buckets_[static_cast<std::size_t>(current - steps + 1) %
                              buckets_.size()];
    requests_ -= oldest.requests;
    extra_sends_ -= oldest.extra_sends;
    oldest = {};
  }
  newest_bucket_ = std::max(newest_bucket_, current);
}

}  // namespace basilhoist
