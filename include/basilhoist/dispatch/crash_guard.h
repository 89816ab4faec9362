// Detects requests that crash the backend servers that run them, and refuses
// them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/link/messages.h"

namespace basilhoist {

/// Services that have replied to one request.
struct request_answers {
  std::vector<std::uint64_t> services;  ///< Hashes of their names.
};

/// Fingerprints by which a request is recognized when it is sent again.
struct request_identity {
  std::uint64_t exact = 0;  ///< Hash of method, complete target and body.
  /// Hash of method, path without query, and body; 0 if the path alone is not
  /// to be evaluated.
  std::uint64_t path = 0;

  auto operator<=>(const request_identity&) const = default;
};

/// A send that ended without a reply although the server may have run it.
struct lost_send {
  request_identity identity;
  std::uint64_t service = 0;      ///< Hash of the service's name.
  std::uint64_t incarnation = 0;  ///< Hash of the server's incarnation.
  std::shared_ptr<const request_answers> answers;

  bool operator==(const lost_send&) const = default;
};

/// Changes due to a confirmed crash or to the reports of a peer.
struct crash_update {
  /// Fingerprints to which another crash that counts has been attributed. They
  /// should be reported to peers at once.
  std::vector<std::uint64_t> reportable;
  /// Fingerprints that are refused from now on, by at least one service.
  std::vector<std::uint64_t> newly_refused;
  /// Subset of `newly_refused` that this instance found to be refused: no peer
  /// has reported them as refused.
  std::vector<std::uint64_t> detected_here;

  bool operator==(const crash_update&) const = default;
};

/// Attributes the crash of a server to a request only if a send of the request
/// was lost there and the server's incarnation is known to have terminated. A
/// request that a server has answered does not crash it, so a reply clears the
/// request of suspicion.
class crash_guard {
 public:
  /// Incarnations that a request must have crashed before it is refused.
  static constexpr std::size_t kCrashesToRefuse = 3;
  /// Longest time from a lost send until the termination of the server must be
  /// known: the server's entry expires after three missed reports and is kept
  /// for a grace period after that.
  static constexpr milliseconds kConfirmationWindow{10000};
  /// A suspect to which no crash has been attributed for this long is removed.
  static constexpr milliseconds kRetention{120000};
  /// Lost sends kept until they are confirmed; the oldest are dropped first.
  static constexpr std::size_t kMaxLosses = 4096;

  /// Answered paths are remembered for the current and the previous period of
  /// this length. A path that was answered does not crash servers by itself,
  /// although one of its queries may.
  static constexpr milliseconds kAnsweredPathPeriod{30000};
  /// Answered paths remembered for one period.
  static constexpr std::size_t kMaxAnsweredPaths = 8192;

  /// @param workspace name of the workspace that sent the request, so that a
  ///   workspace whose requests crash servers does not affect the others; empty
  ///   if there is none
  static request_identity Identify(std::string_view method,
                                   std::string_view target,
                                   std::string_view body,
                                   std::string_view workspace = {});

  /// Returns the hash of a service's name.
  static std::uint64_t ServiceHash(std::string_view service);

  void OnLost(lost_send loss, instant now);

  /// Called when a server of the service has replied to the request.
  void OnAnswer(const request_identity& identity, std::uint64_t service,
                instant now);

  /// Called when an incarnation of a server has terminated unexpectedly.
  crash_update OnTerminated(std::uint64_t incarnation, instant now);

  /// Merges the reports of a peer.
  crash_update Merge(const std::vector<suspect_report>& reports, instant now);

  /// Returns whether the request must not be sent to any service.
  [[nodiscard]] bool Refuses(const request_identity& identity) const;

  /// Returns whether the request must not be sent to the service.
  [[nodiscard]] bool Refuses(const request_identity& identity,
                             std::uint64_t service) const;

  /// Returns the reports for the next message to peers, as many as one message
  /// carries. Those left out come first in a later message.
  [[nodiscard]] std::vector<suspect_report> NextReports(instant now);

  /// Returns the report on one request, or nothing if it is not a suspect.
  [[nodiscard]] std::optional<suspect_report> ReportOf(
      std::uint64_t fingerprint, instant now) const;

  /// Returns the number of requests that are refused now.
  [[nodiscard]] std::size_t RefusedCount() const;

 private:
  struct loss {
    lost_send send;
    instant at;
  };
  // Crashes and replies of one suspect at one service.
  struct service_record {
    std::set<std::uint64_t> crashed;  // incarnations of servers
    bool answered = false;
  };
  struct suspect {
    std::map<std::uint64_t, service_record> services;
    bool answered = false;            // by any service
    instant last_crash;               // when a crash was last attributed to it
    std::uint64_t last_reported = 0;  // number of the last message with it

    [[nodiscard]] std::size_t CrashCount() const;
    [[nodiscard]] bool RefusedAt(const service_record& record) const;
    [[nodiscard]] bool RefusedEverywhere() const;
    [[nodiscard]] bool Refused() const;
  };

  static void AttributeCrash(std::uint64_t fingerprint, suspect& suspected,
                             std::uint64_t service, std::uint64_t incarnation,
                             crash_update& update);
  void AttributeLostSend(std::uint64_t fingerprint, const lost_send& send,
                         instant now, crash_update& update);
  void ClearSuspicion(std::uint64_t fingerprint, std::uint64_t service);
  [[nodiscard]] bool WasAnswered(std::uint64_t path) const;
  [[nodiscard]] bool Refuses(std::uint64_t fingerprint) const;
  [[nodiscard]] bool Refuses(std::uint64_t fingerprint,
                             std::uint64_t service) const;
  void RemoveExpired(instant now);
  static suspect_report Summarize(std::uint64_t fingerprint,
                                  const suspect& suspected, instant now);

  std::deque<loss> losses_;                    // unconfirmed, oldest first
  std::map<std::uint64_t, suspect> suspects_;  // by fingerprint
  std::unordered_set<std::uint64_t> answered_paths_;
  std::unordered_set<std::uint64_t> previous_answered_paths_;
  instant answered_paths_since_;
  std::uint64_t message_count_ = 0;
};

}  // namespace basilhoist
