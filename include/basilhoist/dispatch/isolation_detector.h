// Decides whether this instance has lost its links to the backend servers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Result of connecting to a sample of servers.
struct link_sample {
  std::size_t checked = 0;
  std::size_t listening = 0;

  auto operator<=>(const link_sample&) const = default;
};

/// Failures to reach several servers raise a suspicion, which a sample of other
/// servers confirms or refutes. It does no I/O.
class isolation_detector {
 public:
  /// Servers that must have failed within kFailureWindow for a suspicion.
  static constexpr std::size_t kSuspectedFailures = 3;
  static constexpr milliseconds kFailureWindow{1000};
  /// Minimum time between two samples.
  static constexpr milliseconds kSampleInterval{300};

  /// Called when no connection to a server could be established.
  /// @param server key in the server directory
  void OnConnectFailed(std::uint64_t server, instant now);

  /// Called when a server replies.
  void OnReply(instant now) { last_reply_ = now; }

  /// Called when a server's reply is overdue. Counts as a failure only if no
  /// server has replied since the request was sent: while one is slow, others
  /// reply.
  void OnOverdue(std::uint64_t server, instant sent_at, instant now);

  /// @param servers number of listed servers; where there are few, fewer
  ///   failures raise a suspicion
  /// @return whether a sample should be taken now
  [[nodiscard]] bool WantsSample(std::size_t servers, instant now) const;

  /// Called when a sample is taken.
  void OnSampleStarted(instant now) { last_sample_ = now; }

  /// Called with the result of a sample.
  /// @return whether Isolated() has changed
  bool OnSample(const link_sample& sample);

  /// @return whether this instance reaches no backend server
  [[nodiscard]] bool Isolated() const { return isolated_; }

 private:
  std::map<std::uint64_t, instant> failures_;  // latest one of each server
  instant last_reply_;
  instant last_sample_;
  bool isolated_ = false;
};

}  // namespace basilhoist
