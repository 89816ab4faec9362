// Statistics of the sends from this instance to each backend server.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// Result of one send, as it counts in the statistics of the server.
enum class send_result : std::uint8_t {
  kReplied,           ///< A complete reply with any status.
  kFailed,            ///< The server was reached but failed the request.
  kShed,              ///< The server refused the request for lack of capacity.
  kConnectionBroken,  ///< The connection broke, or none could be established.
  kAbandoned,         ///< The reply was no longer needed.
};

/// State of a server, as far as it matters for the choice of a replica.
struct server_health {
  unsigned in_flight = 0;
  /// Average ratio of the actual to the expected reply time. Returns to 1 while
  /// there are no sends, so that the server is tried again.
  double slowness = 1;
  /// Share of recent sends that failed, 0 to 1.
  double failure_share = 0;
  /// Share of recent sends that the server did not refuse, 0 to 1.
  double acceptance = 1;
  /// Sends that the server refused since it last accepted one.
  unsigned consecutive_refusals = 0;
  /// A request in flight is overdue, so the server may be paused.
  bool stalled = false;
  /// Nothing should be sent before this time, since the server's connections
  /// broke or it shed a request.
  instant avoid_until;
  /// When a reply last arrived.
  instant last_reply;
  /// When a send last ended, with or without a reply.
  instant last_end;
};

/// Moving averages of each server, by its key in the server directory.
class server_stats {
 public:
  /// How long a server is avoided after its connection broke. The time starts
  /// at the minimum and doubles with each consecutive break.
  static constexpr milliseconds kMinAvoid{100};
  static constexpr milliseconds kMaxAvoid{1600};
  /// A server that refused this many sends in a row is full. One that refuses
  /// 60% at random, but accepts others, does so in 5% of the cases.
  static constexpr unsigned kFullRefusals = 6;
  /// How long a full server is avoided: about one service time.
  static constexpr milliseconds kShedAvoid{20};
  /// Time in which what was observed of a server loses half of its effect. A
  /// server that is 8 times as slow is tried again after about 6 s, one that
  /// was late once after less than 1 s.
  static constexpr milliseconds kHalfLife{2000};

  /// @param send identifies the send; unique for the server
  /// @param expected expected reply time on this route
  void OnSent(std::uint64_t server, std::uint64_t send, microseconds expected,
              instant now);
  void OnEnd(std::uint64_t server, std::uint64_t send, send_result result,
             instant now);

  /// Called when the server has been removed.
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
    double acceptance = 1;
    instant averages_at;  // when the averages above applied
    unsigned consecutive_late = 0;
    unsigned consecutive_breaks = 0;
    unsigned consecutive_refusals = 0;
    instant avoid_until;
    instant last_reply;
    instant last_end;
  };

  // Moves the averages toward their initial values by the time that has passed.
  static void Relax(record& stats, instant now);
  static void UpdateSlowness(record& stats, double ratio);
  static void UpdateAvoidance(record& stats, send_result result, instant now);

  std::unordered_map<std::uint64_t, record> records_;
};

}  // namespace basilhoist
