// What one instance has seen of each backend server.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// How one send to a server ended, as far as it tells of the server.
enum class send_result : std::uint8_t {
  kReplied,           ///< A whole reply, of whatever status.
  kFailed,            ///< The server failed the request though it was reached.
  kShed,              ///< It had no room.
  kConnectionBroken,  ///< The connection broke, or none was to be had.
  kAbandoned,         ///< The reply was needed no more.
};

/// What counts in the choice of a server.
struct server_health {
  unsigned in_flight = 0;
  /// Time of its replies relative to what is expected for their routes.
  double slowness = 1;
  /// Share of recent sends that failed, 0 to 1.
  double failure_share = 0;
  /// Its oldest request in flight is late: it may be paused.
  bool stalled = false;
  /// Nothing should be sent before, after it broke or shed.
  instant avoid_until;
};

/// Moving averages of each server, by its directory key.
class server_stats {
 public:
  /// How long a server is avoided after its connections broke; doubles with
  /// each time in a row.
  static constexpr milliseconds kMinAvoid{100};
  static constexpr milliseconds kMaxAvoid{1600};
  /// After a refusal for lack of room; about one service time.
  static constexpr milliseconds kShedAvoid{20};

  /// @param expected expected time of a reply on this route
  void OnSent(std::uint64_t server, std::uint64_t send, microseconds expected,
              instant now);
  void OnEnd(std::uint64_t server, std::uint64_t send, send_result how,
             instant now);

  /// The server is gone.
  void Forget(std::uint64_t server) { records_.erase(server); }

  [[nodiscard]] server_health HealthOf(std::uint64_t server, instant now) const;

 private:
  struct pending {
    std::uint64_t send = 0;
    instant since;
    microseconds expected;
  };
  struct record {
    std::vector<pending> sends;
    double slowness = 1;
    double failure_share = 0;
    unsigned consecutive_breaks = 0;
    instant avoid_until;
  };

  std::unordered_map<std::uint64_t, record> records_;
};

}  // namespace basilhoist
