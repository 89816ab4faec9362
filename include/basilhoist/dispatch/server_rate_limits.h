// Request rate limits that backend servers advertise in their replies.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/link/messages.h"

namespace basilhoist {

/// The request rate that a server advertises.
struct advertised_rate {
  double per_s = 0;
  /// The rate differs from the header's value, which was higher than the
  /// maximum.
  bool adjusted = false;

  auto operator<=>(const advertised_rate&) const = default;
};

/// Parses the value of a rate limit header.
/// @return the rate; nothing for anything that is not a non-negative decimal
///   number
std::optional<advertised_rate> ParseRateLimit(std::string_view text);

/// Keeps the limits by server incarnation. A limit is created by a reply that
/// this instance or its relay has received; peers only update it, so that one
/// wrong reply does not limit a server at all instances.
class server_rate_limits {
 public:
  /// Rates are kept within these bounds. A server that accepts no requests at
  /// all is still sent one now and then, which shows when its limit ends.
  static constexpr double kMinRate = 0.25;
  static constexpr double kMaxRate = 1e6;
  /// After a limit has ended, the rate doubles in each such time.
  static constexpr milliseconds kReleaseDoubling{500};
  /// Time from a limit's end until the server is not limited any more.
  static constexpr milliseconds kReleaseTime{4000};
  /// The rate stays as it is after the last reply that advertised it, for this
  /// time and that in which the server accepts kFreshRequests. It then doubles
  /// in each kStaleDoubling, since the senders may have no requests for the
  /// server, or may be gone. Reports of peers take a few seconds to arrive.
  static constexpr milliseconds kFreshTime{5000};
  static constexpr double kFreshRequests = 2;
  static constexpr milliseconds kStaleDoubling{2000};
  /// A limit is forgotten if no reply has confirmed it for this time.
  static constexpr milliseconds kLifetime{60000};
  /// Limits are reported to peers for this time after a reply.
  static constexpr milliseconds kReportTime{5000};

  /// Called when a reply advertises a limit.
  /// @return whether the limit is new, or has changed
  bool OnAdvertised(std::uint64_t incarnation, double rate_per_s, instant now);

  /// Called when a reply advertises no limit. It ends a limit only if its
  /// request was sent after the last reply that advertised one.
  /// @return whether a limit has ended
  bool OnNotAdvertised(std::uint64_t incarnation, instant sent_at, instant now);

  /// Called when a relay passes on a limit that kept it from sending.
  /// @return whether the limit is new here
  bool OnRelayed(const rate_limit_report& report, instant now);

  /// Called when a peer reports a limit.
  void OnReport(const rate_limit_report& report, instant now);

  /// @return the rate that all instances together may send now; nothing if the
  ///   server is not limited
  [[nodiscard]] std::optional<double> RateOf(std::uint64_t incarnation,
                                             instant now) const;

  /// @return what to tell others of a limit; nothing if there is none
  [[nodiscard]] std::optional<rate_limit_report> ReportOf(
      std::uint64_t incarnation, instant now) const;

  /// @param max limit on the number of reports
  /// @return limits to report to peers; each call continues after the last
  ///   server reported
  [[nodiscard]] std::vector<rate_limit_report> NextReports(std::size_t max,
                                                           instant now);

  /// @return number of servers with a limit
  [[nodiscard]] std::size_t Size() const { return records_.size(); }

 private:
  struct record {
    double rate_per_s = 0;
    bool ended = false;
    // When the newest reply was received that advertised the limit or showed
    // its end, here or at a peer.
    instant observed_at;

    [[nodiscard]] bool Expired(instant now) const;
  };

  void RemoveExpired(instant now);

  std::map<std::uint64_t, record> records_;
  std::uint64_t last_reported_ = 0;  // incarnation
};

}  // namespace basilhoist
