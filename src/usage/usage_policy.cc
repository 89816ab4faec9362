#include "basilhoist/usage/usage_policy.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace basilhoist {
namespace {

// Without a limit on the debt, a fault in the counts of one instance would
// lock a workspace out for good.
constexpr double kMaxDebtS = 5;
// Spare tokens that requests admitted by the tolerance may owe. With all of
// kUsageSpareDebt, a restarted instance admits that many requests more, which
// broke the rule with a limit of one request per second and three restarts.
constexpr double kToleratedDebt = 1;

// A bucket of less than one request would admit none.
double MainCapacity(const usage_limit& limit) {
  return std::max(1.0, limit.burst);
}

}  // namespace

double UsageCapacity(const usage_limit& limit) {
  return MainCapacity(limit) + kUsageSpare;
}

usage_bucket::content usage_bucket::ContentAt(const usage_limit& limit,
                                              instant now) const {
  const double most = MainCapacity(limit);
  const auto age = static_cast<double>((now - at_).count()) / 1e6;
  const double tokens = left_.tokens + std::max(0.0, age) * limit.rate_per_s;
  const double over = std::max(0.0, tokens - most);
  return {.tokens = tokens - over,
          .spare = std::min(kUsageSpare, left_.spare + over)};
}

double usage_bucket::TokensAt(const usage_limit& limit, instant now) const {
  const content left = ContentAt(limit, now);
  return left.tokens + kUsageTolerance + std::max(0.0, std::floor(left.spare));
}

// A token that is there only with the tolerance may go to a request above the
// limit, which must take nothing from those within it. Such a request takes a
// spare token instead, within kToleratedDebt. A request within the limit that
// is taken for one above it leaves its part of a token to the next ones.
void usage_bucket::Take(const usage_limit& limit, std::uint64_t count,
                        instant now) {
  left_ = ContentAt(limit, now);
  at_ = std::max(at_, now);
  const auto wanted = static_cast<double>(count);
  const double tolerance = left_.spare > -kToleratedDebt ? 0 : kUsageTolerance;
  const double within =
      std::clamp(std::floor(left_.tokens + tolerance), 0.0, wanted);
  const double above = std::clamp(std::floor(left_.spare + kUsageSpareDebt),
                                  0.0, wanted - within);
  left_.spare -= above;
  left_.tokens -= wanted - above;
  left_.tokens = std::max(left_.tokens, -kMaxDebtS * limit.rate_per_s - 1);
}

std::uint64_t UsageKey(std::string_view workspace_name) {
  return XXH64(workspace_name.data(), workspace_name.size(), 0);
}

}  // namespace basilhoist
