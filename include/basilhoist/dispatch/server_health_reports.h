// Reports between instances about servers that look silent or several times
// slower than expected. Addresses windows in which many servers are slow or
// silent: instances near a server make most of its sends and notice it first,
// while others would each need sends of their own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "basilhoist/directory/server_directory.h"
#include "basilhoist/dispatch/server_stats.h"
#include "basilhoist/link/messages.h"

namespace basilhoist {

/// What peers report, and what this instance reports to them. A report only
/// lowers the preference for a server; it expires, and a reply that arrives
/// here after the observation overrides it.
class server_health_reports {
 public:
  /// A report has half of its effect after half of this time.
  static constexpr milliseconds kLifetime{2500};
  /// Minimum slowness that is reported.
  static constexpr double kMinSlowness = 3;
  /// Maximum slowness that a report causes: below that of a server whose sends
  /// from here remain unanswered.
  static constexpr double kMaxSlowness = 8;

  /// @return the reports of servers about which no report was valid before
  std::vector<server_health_report> OnReports(
      const std::vector<server_health_report>& reports, instant now);

  /// @param last_reply when the server last replied to this instance
  /// @return the slowness of a server as peers report it; 1 if they do not
  [[nodiscard]] double SlownessOf(std::uint64_t incarnation, instant last_reply,
                                  instant now) const;

  /// Collects observations of this instance. It does not pass on reports, so
  /// that instances do not confirm each other's reports.
  /// @param max limit on the reports; successive calls take turns
  std::vector<server_health_report> NextReports(
      const server_directory& directory, const server_stats& stats,
      std::size_t max, instant now);

  /// @return the number of servers about which a report is valid
  [[nodiscard]] std::size_t Size(instant now) const;

 private:
  struct record {
    double slowness = 1;
    instant observed_at;
  };

  /// @return whether the report is the first valid one about its server
  bool OnReport(const server_health_report& report, instant now);
  void RemoveExpired(instant now);

  std::unordered_map<std::uint64_t, record> records_;  // by incarnation
  std::string last_reported_;  // id of the server, for turns
};

}  // namespace basilhoist
