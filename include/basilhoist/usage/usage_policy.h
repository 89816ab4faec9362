// Figures and small types that both sides of the usage limits share.
#pragma once

#include <cstdint>
#include <string_view>

#include "basilhoist/base/clock.h"
#include "basilhoist/workspace/workspace.h"

namespace basilhoist {

/// Requests that a workspace may be ahead of its rate beyond its burst. The
/// rule leaves 20 above the limit; this part of them keeps a workspace with a
/// rate far below one a second, whose requests come irregularly, from being
/// refused. The others are left for what is admitted before all know of it.
inline constexpr double kUsageSpare = 4;

/// Requests that instances may admit above the limit, because they do not know
/// yet that it is used up, at no cost to later requests within the limit.
inline constexpr double kUsageSpareDebt = 6;

/// Part of a request that may be missing from a whole one. Keepers hear of
/// requests a little later than they are admitted, and are behind by what the
/// rate adds in that time.
inline constexpr double kUsageTolerance = 0.1;

/// A grant is valid for this time after the report that it answers was sent,
/// on the clock of the instance that sent it.
inline constexpr milliseconds kUsageLease{1000};

/// For this time after the first report of a workspace, a keeper may not know
/// what was admitted before. Others that have counted longer are preferred.
inline constexpr milliseconds kUsageYoung{5000};

/// Time that `usage_demand::recent` covers.
inline constexpr milliseconds kUsageRecent{2000};

/// @return requests that a workspace may be ahead of its rate at most
double UsageCapacity(const usage_limit& limit);

/// Token bucket of a usage limit, with the spare tokens in a second one that
/// is filled from the first. A request above the limit takes a spare token, so
/// it takes nothing from the requests within the limit.
class usage_bucket {
 public:
  /// @param begun when this process began. It does not know what was sent
  ///   before, so the bucket was nearly empty then.
  explicit usage_bucket(instant begun) : at_(begun) {}

  /// @return the tokens at a point in time, with kUsageTolerance and without
  ///   parts of spare ones; negative after too many requests
  [[nodiscard]] double TokensAt(const usage_limit& limit, instant now) const;
  /// Takes tokens, also those that are not there. The debt is limited.
  void Take(const usage_limit& limit, std::uint64_t count, instant now);

 private:
  struct content {
    double tokens = 0;
    double spare = 0;
  };
  [[nodiscard]] content ContentAt(const usage_limit& limit, instant now) const;

  content left_{.tokens = 1, .spare = 2};
  instant at_;
};

/// @return the hash of a workspace's name by which instances refer to it
std::uint64_t UsageKey(std::string_view workspace_name);

}  // namespace basilhoist
