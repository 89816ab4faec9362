// What an entry knows about each backend server, and the choice of a replica.
#pragma once

#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/link/messages.h"
#include "basilhoist/snapshot/index_catalogue.h"

namespace basilhoist {

/// Ways to choose among the replicas of a shard.
enum class choice_rule : std::uint8_t {
  kExpectedWait,  ///< Least expected time, from load and recent latency.
  kRandom,        ///< Any; the baseline of measurements.
};

/// What is known of one backend server, seen from one entry.
class server_table : public replica_states {
 public:
  explicit server_table(std::uint64_t seed) : random_(seed) {}

  /// Sets what new work is barred from.
  void SetBarred(std::set<std::string> servers) {
    barred_ = std::move(servers);
  }

  /// A sub-request went out to the server.
  void OnSent(const std::string& server);

  /// A sub-request ended.
  /// @param took from sending to the reply, in this entry
  void OnReply(const std::string& server, const subreply& reply,
               microseconds took, instant now);

  /// The server's owner told its load.
  void OnLoad(const std::string& server, const server_load& load);

  /// A sub-request ended without a reply from the server's owner.
  void OnLost(const std::string& server, instant now);

  /// A sub-request was cancelled since it was needed no more.
  /// @param waited for so long, at least, it would have taken
  void OnCancelled(const std::string& server, microseconds waited);

  [[nodiscard]] replica_state StateOf(const std::string& server) const override;

  /// Chooses a replica that can serve the version.
  /// @param exclude servers already tried
  /// @return the server's name, or empty where none is left
  [[nodiscard]] std::string Choose(const shard& part, std::uint64_t version,
                                   const std::set<std::string>& exclude,
                                   choice_rule rule, instant now);

  /// @return the time one more sub-request would wait for a slot
  [[nodiscard]] microseconds ExpectedWait(const std::string& server) const;

  /// @return the time one more sub-request would need, waiting included
  [[nodiscard]] microseconds ExpectedTime(const std::string& server,
                                          instant now) const;

 private:
  struct record {
    [[nodiscard]] double WaitUs() const;

    double latency_us = 0;  // moving average of time on the server
    std::uint32_t outstanding = 0;
    server_load load;
    std::uint32_t sent_since_load = 0;  // our own, not yet in `load`
    version_range versions;
    instant avoid_until;  // after a failure or a refusal
    microseconds avoid_for{0};
    bool draining = false;
  };

  [[nodiscard]] bool CanServe(const std::string& server,
                              std::uint64_t version) const;

  std::map<std::string, record> records_;
  std::set<std::string> barred_;
  pcg32 random_;
};

}  // namespace basilhoist
