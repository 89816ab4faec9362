// A budget for extra attempts, earned by first attempts.
#pragma once

#include <algorithm>

namespace basilhoist {

/// Lets extra attempts be at most a share of first attempts over time.
class attempt_budget {
 public:
  /// @param share extra attempts for each first attempt, 0 to 1
  explicit attempt_budget(double share) : share_(share) {}

  /// A first attempt was sent.
  void Earn() { tokens_ = std::min(kMostTokens, tokens_ + share_); }

  /// @return how full the budget is, from 0 to 1
  [[nodiscard]] double Fill() const { return tokens_ / kMostTokens; }

  /// @return whether one extra attempt may be sent now; it is then counted
  bool Spend() {
    if (tokens_ < 1.0) return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  // What an idle time may save up: a burst of this many, no more.
  static constexpr double kMostTokens = 20.0;

  double share_;
  double tokens_ = 1.0;
};

}  // namespace basilhoist
