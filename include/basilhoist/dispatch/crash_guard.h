// Finds requests that crash the servers that run them, and keeps them out.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/link/messages.h"

namespace basilhoist {

/// Blames a request only for servers that were lost while they ran it: the
/// connection broke, and the next one was refused.
class crash_guard {
 public:
  /// Servers that a request must have crashed before it is refused.
  static constexpr std::size_t kCrashes = 3;
  /// A server refuses connections this soon after a crash, if at all.
  static constexpr milliseconds kConfirmWithin{2000};
  /// A request is forgotten when it has crashed nothing for so long.
  static constexpr milliseconds kForgetAfter{120000};

  /// @return what requests of the same target and body have in common
  static std::uint64_t Fingerprint(std::string_view method,
                                   std::string_view target,
                                   std::string_view body);

  /// A connection broke while a server ran the request.
  /// @return earlier breaks that stay unconfirmed
  std::size_t OnBroken(std::uint64_t fingerprint, std::uint64_t server, instant now);

  /// A server refused a connection: it is down.
  /// @return whether this is news of a request that crashed it
  bool OnRefused(std::uint64_t server, instant now);

  /// A peer's reports.
  void Merge(const std::vector<suspect_report>& reports, instant now);

  /// @return whether the request must not be sent any more
  [[nodiscard]] bool Refuses(std::uint64_t fingerprint) const;

  /// @return what peers should know
  [[nodiscard]] std::vector<suspect_report> Reports(instant now);

 private:
  struct loss {
    std::uint64_t fingerprint = 0;
    std::uint64_t server = 0;
    instant at;
  };
  struct suspect {
    std::set<std::uint64_t> servers;
    instant last;
  };

  std::vector<loss> losses_;  // not confirmed yet
  std::map<std::uint64_t, suspect> suspects_;
};

}  // namespace basilhoist
