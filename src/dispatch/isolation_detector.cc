#include "basilhoist/dispatch/isolation_detector.h"

#include <algorithm>

namespace basilhoist {

void isolation_detector::OnConnectFailed(std::uint64_t server, instant now) {
  std::erase_if(failures_, [now](const auto& failure) {
    return now - failure.second > kFailureWindow;
  });
  failures_[server] = now;
}

void isolation_detector::OnOverdue(std::uint64_t server, instant sent_at,
                                   instant now) {
  if (last_reply_ <= sent_at) OnConnectFailed(server, now);
}

bool isolation_detector::WantsSample(std::size_t servers, instant now) const {
  if (last_sample_ > instant() && now - last_sample_ < kSampleInterval) {
    return false;
  }
  if (isolated_) return true;
  return !failures_.empty() &&
         failures_.size() >= std::min(kSuspectedFailures, servers);
}

// One server that listens refutes the isolation. It ends only when most of the
// sample listens, so that a link that fails again and again does not end it
// each time.
bool isolation_detector::OnSample(const link_sample& sample) {
  failures_.clear();
  if (sample.checked == 0) return false;
  const bool before = isolated_;
  isolated_ = isolated_ ? 2 * sample.listening <= sample.checked
                        : sample.listening == 0;
  return isolated_ != before;
}

}  // namespace basilhoist
