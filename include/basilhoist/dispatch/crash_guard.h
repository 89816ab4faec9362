// Finds requests that crash the servers that run them, and keeps them out.
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

/// Services that have answered one request.
struct request_answers {
  std::vector<std::uint64_t> services;  ///< Hashes of their names.
};

/// What requests have in common that may be the same one, sent again.
struct request_identity {
  std::uint64_t exact = 0;  ///< Of method, whole target and body.
  std::uint64_t path = 0;   ///< Of method, path and body; 0: not looked at.

  auto operator<=>(const request_identity&) const = default;
};

/// A send that ended without a reply although the server may have run it.
struct lost_send {
  request_identity identity;
  std::uint64_t service = 0;  ///< Hash of its name.
  std::uint64_t server = 0;   ///< Hash of the server's run.
  std::shared_ptr<const request_answers> request;

  bool operator==(const lost_send&) const = default;
};

/// What a proof or a peer's report has changed.
struct crash_news {
  /// Fingerprints with a run more that counts; peers should hear of it now.
  std::vector<std::uint64_t> blamed;
  /// Fingerprints that are refused from now on, by one service at least.
  std::vector<std::uint64_t> refused;
  /// Those of them that nobody has told to be refused: found here.
  std::vector<std::uint64_t> found;

  bool operator==(const crash_news&) const = default;
};

/// Blames a request for a server only if a send of it was lost there and the
/// server's run is known to have ended. A server that answers a request is not
/// crashed by it, so an answer clears the request of blame.
class crash_guard {
 public:
  /// Runs of servers that a request must have ended before it is refused.
  static constexpr std::size_t kCrashes = 3;
  /// A run's end is known so long after the loss at the latest: its entry
  /// lapses after three reports, and is kept for a grace after that.
  static constexpr milliseconds kProofWithin{10000};
  /// A request is forgotten when it has crashed nothing for so long.
  static constexpr milliseconds kForgetAfter{120000};
  /// Lost sends kept for proof; the oldest ones make room.
  static constexpr std::size_t kMostLosses = 4096;

  /// A path that was answered in this time, or the same time before, crashes
  /// nothing by itself: one of its queries may.
  static constexpr milliseconds kAnswerMemory{30000};
  /// Answered paths remembered for one such time.
  static constexpr std::size_t kMostAnsweredPaths = 8192;

  static request_identity Identify(std::string_view method,
                                   std::string_view target,
                                   std::string_view body);

  /// @return the hash of a service's name
  static std::uint64_t ServiceHash(std::string_view service);

  void OnLost(lost_send loss, instant now);

  /// A server of the service answered the request.
  void OnAnswer(const request_identity& identity, std::uint64_t service,
                instant now);

  /// A run of a server has ended without having been asked to.
  crash_news OnEnded(std::uint64_t server, instant now);

  /// A peer's reports.
  crash_news Merge(const std::vector<suspect_report>& reports, instant now);

  /// @return whether the request must be sent to no service any more
  [[nodiscard]] bool Refuses(const request_identity& identity) const;

  /// @return whether the request must not be sent to the service any more
  [[nodiscard]] bool Refuses(const request_identity& identity,
                             std::uint64_t service) const;

  /// @return what peers should know, as much as one message carries; what is
  ///   left out comes first in a later one
  [[nodiscard]] std::vector<suspect_report> Reports(instant now);

  /// @return what is known of a request; nothing if it is no suspect
  [[nodiscard]] std::optional<suspect_report> ReportOf(
      std::uint64_t fingerprint, instant now) const;

  /// @return requests that are refused now
  [[nodiscard]] std::size_t RefusedCount() const;

 private:
  struct loss {
    lost_send send;
    instant at;
  };
  // What a request has done at one service.
  struct service_record {
    std::set<std::uint64_t> ended;  // runs of servers
    bool answered = false;
  };
  struct suspect {
    std::map<std::uint64_t, service_record> services;
    bool answered = false;  // by any service
    instant last;           // when it was last blamed
    std::uint64_t told = 0;

    [[nodiscard]] std::size_t Ended() const;
    [[nodiscard]] bool RefusedAt(const service_record& record) const;
    [[nodiscard]] bool RefusedEverywhere() const;
    [[nodiscard]] bool Refused() const;
  };

  static void Blame(std::uint64_t fingerprint, suspect& blamed,
                    std::uint64_t service, std::uint64_t server,
                    crash_news& news);
  void BlameLoss(std::uint64_t fingerprint, const lost_send& send, instant now,
                 crash_news& news);
  void Clear(std::uint64_t fingerprint, std::uint64_t service);
  [[nodiscard]] bool Answered(std::uint64_t path) const;
  [[nodiscard]] bool Refuses(std::uint64_t fingerprint) const;
  [[nodiscard]] bool Refuses(std::uint64_t fingerprint,
                             std::uint64_t service) const;
  void Forget(instant now);
  static suspect_report Summarize(std::uint64_t fingerprint,
                                  const suspect& blamed, instant now);

  std::deque<loss> losses_;                    // no proof yet, oldest first
  std::map<std::uint64_t, suspect> suspects_;  // by fingerprint
  std::unordered_set<std::uint64_t> answered_paths_;
  std::unordered_set<std::uint64_t> answered_before_;
  instant remembering_since_;
  std::uint64_t messages_ = 0;
};

}  // namespace basilhoist
