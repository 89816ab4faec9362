#include "basilhoist/pace/paced_server.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace basilhoist {
namespace {

// Weight of the newest reply in the average of ratios.
constexpr double kRatioWeight = 0.3;
// Bounds the effect of one reply that a pause, noise or a new connection
// delayed: one such reply holds the share, two in a row cut it.
constexpr double kMaxRatio = 6;
// Requests that may be sent together when the server has not been chosen for a
// while.
constexpr double kMaxCredit = 2;
// Requests that were sent although no credit was left, since no other server
// could take them, delay the next one by this many at most.
constexpr double kMinCredit = -1;

}  // namespace

paced_server::paced_server(const pace_options& options, instant now)
    : options_(options), credit_(options.initial_credit) {
  Restart(now);
}

void paced_server::Restart(instant now) {
  started_at_ = now;
  ratio_ = 1;
  replied_ = false;
  unanswered_ = false;
  credit_ = std::min(credit_, options_.initial_credit);
  SetShare(options_.even_share * kInitialPart, now);
}

void paced_server::OnRequest(instant now) {
  credit_ = std::min(kMaxCredit, credit_ + Share(now));
}

// Until the first reply a single request shows whether the server serves.
bool paced_server::Allows(unsigned in_flight) const {
  if (!replied_ && in_flight > 0) return false;
  return credit_ >= 1;
}

// The share does not grow by time while the server owes its first reply.
void paced_server::OnSent(instant now) {
  credit_ = std::max(kMinCredit, credit_ - 1);
  if (replied_ || unanswered_) return;
  SetShare(Share(now), now);
  unanswered_ = true;
}

pace_step paced_server::OnReply(double ratio, instant now) {
  const double sample = std::min(ratio, kMaxRatio);
  ratio_ += kRatioWeight * (sample - ratio_);
  replied_ = true;
  const double share = Share(now);
  if (std::exchange(unanswered_, false)) grows_from_ = now;
  if (ratio_ > kFarRatio) {
    return Cut(now) ? pace_step::kCut : pace_step::kHeld;
  }
  if (std::max(ratio_, sample) > kNearRatio) {
    SetShare(share, std::max(now + kHold, grows_from_));
    return pace_step::kHeld;
  }
  SetShare(share * kReplyGrowth, std::max(now, grows_from_));
  return pace_step::kGrown;
}

bool paced_server::OnFailure(instant now) { return Cut(now); }

bool paced_server::Cut(instant now) {
  if (now - cut_at_ < kCutInterval) return false;
  cut_at_ = now;
  SetShare(Share(now) * kCut, now + kHold);
  return true;
}

void paced_server::SetShare(double share, instant grows_from) {
  share_ = std::clamp(share, options_.even_share * kMinPart, 1.0);
  grows_from_ = grows_from;
}

// Grows by time to the even share only: all instances grow it at the same time,
// and those that send little see none of its replies.
double paced_server::Share(instant now) const {
  if (now <= grows_from_ || unanswered_) return share_;
  const double ramps = static_cast<double>((now - grows_from_).count()) /
                       static_cast<double>(options_.ramp.count());
  return std::max(share_, std::min(options_.even_share,
                                   share_ * std::pow(kInitialPart, -ramps)));
}

bool paced_server::ServesLikeOthers(instant now) const {
  return replied_ && now >= grows_from_ && share_ >= 1;
}

bool paced_server::HasWarmedUp(instant now) const {
  return !unanswered_ && now - started_at_ >= options_.ramp &&
         now >= grows_from_ && Share(now) >= options_.even_share;
}

bool paced_server::Expired(instant now) const {
  return now - started_at_ >= kMaxDuration;
}

}  // namespace basilhoist
