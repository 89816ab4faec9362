// Paces backend servers by what the directory and their replies tell of them.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilhoist/directory/server_directory.h"
#include "basilhoist/dispatch/server_stats.h"
#include "basilhoist/pace/server_pacer.h"

namespace basilhoist {

/// How a send to a server ended.
struct ended_send {
  send_result result = send_result::kReplied;
  instant sent_at;
  microseconds expected{0};  ///< Typical reply time of its route.
};

/// Counters for metrics.
struct pace_counts {
  std::array<std::uint64_t, kPaceReasonCount> begun{};  ///< By pace_reason.
  /// By pace_change.
  std::array<std::uint64_t, kPaceChangeCount> changes{};
  /// Sends to paced servers beyond their share, since no other could be used.
  std::uint64_t forced_sends = 0;
};

/// Tells the server_pacer which servers start or recover, and logs and counts
/// what it decides.
class pace_controller {
 public:
  /// A server that has not replied to a request for this time, and a multiple
  /// of its route's typical reply time, is silent. Longer than the pauses of
  /// servers that run well (250 ms).
  static constexpr milliseconds kMinSilence{400};
  static constexpr int kSilenceFactor = 4;

  /// @param warmup_of returns the time that servers of a service need to warm
  ///   up; 0 if it is unknown
  pace_controller(
      const server_directory& directory, const server_stats& stats,
      std::uint64_t seed,
      std::function<microseconds(const std::string& service)> warmup_of);

  /// Called when servers were added to the directory.
  void OnAdded(const std::vector<listed_server_ptr>& added, instant now);

  /// Called when a request to a service begins at this instance.
  void OnRequest(const std::string& service, instant now);

  /// @return a time in the future while the server must get no request, unless
  ///   no other server of its service can take it
  [[nodiscard]] instant BlockedUntil(const listed_server& server,
                                     const server_health& health,
                                     instant now) const;

  /// Called when a request is sent to the server.
  void OnSent(const listed_server& server, instant now);

  void OnSendEnd(const listed_server& server, const ended_send& send,
                 instant now);

  /// Called when the server asks for a pause.
  void OnPauseRequested(const listed_server& server, instant now);

  /// Called when a reply says for the first time that the server warms up.
  void OnWarmupStated(const listed_server& server, instant now);

  /// Called when the server has been removed from the directory.
  void OnRemoved(const listed_server& server);

  [[nodiscard]] const pace_counts& Counts() const { return counts_; }
  /// @return number of paced servers
  [[nodiscard]] std::size_t Size() const { return pacer_.Size(); }
  /// @return the paced servers, for /dump
  [[nodiscard]] nlohmann::ordered_json Dump(instant now) const;

 private:
  void Start(const listed_server& server, pace_reason reason, instant now);
  void Start(const std::string& service,
             const std::vector<std::uint64_t>& servers, pace_reason reason,
             instant now);
  // Typical ratio of the reply time to the expected one at the other servers.
  [[nodiscard]] double SlownessOfOthers(const listed_server& server,
                                        instant now) const;
  void ReportEvents(const std::string& service);

  const server_directory& directory_;
  const server_stats& stats_;
  pcg32 random_;
  std::function<microseconds(const std::string&)> warmup_of_;
  server_pacer pacer_;
  pace_counts counts_;
  std::unordered_map<std::uint64_t, instant> replied_at_;  // by server
};

}  // namespace basilhoist
