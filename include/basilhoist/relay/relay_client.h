// Sends batches of shards through instances near their servers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "basilhoist/dispatch/service_call.h"
#include "basilhoist/relay/relay_links.h"

namespace basilhoist {

/// An instance that takes batches.
struct relay_peer {
  endpoint relay;
  std::string failure_domain;
  double cpu_cores = 1;  ///< Cores that it may use.

  auto operator<=>(const relay_peer&) const = default;
};

/// Where the sender of batches stands, and what it can do itself.
struct relay_client_options {
  std::string failure_domain;
  double cpu_cores = 1;  ///< Cores that it may use.
};

/// What the sender of a batch is told.
struct relay_handlers {
  std::function<void(const relay_update&)> on_update;
  /// The relay cannot be relied on: it did not take the batch in time, or
  /// the link broke. What it had not answered is the sender's again.
  std::function<void()> on_lost;
};

/// Keeps the batches that relays work on.
class relay_client {
 public:
  /// A relay says at once that it has taken a batch; one that does not within
  /// this time is frozen, cut off or overloaded.
  static constexpr milliseconds kTakenWithin{25};
  /// A relay that failed gets no batches for so long.
  static constexpr milliseconds kAvoid{1000};
  /// For the way of an update and its handling at both ends.
  static constexpr milliseconds kReturnMargin{4};

  /// An instance in the own failure domain gets shards near to both only if
  /// it can do so much more: a batch costs work at both ends.
  static constexpr double kStronger = 2;
  /// Of one domain's instances, those that can do so much less than the
  /// strongest one get no batches. Fewer instances keep connections warm.
  static constexpr double kTooWeak = 0.5;
  /// Shards that one instance sends before another one would have begun with
  /// its part.
  static constexpr std::size_t kLeastPart = 24;

  relay_client(event_loop& loop, relay_links& links,
               relay_client_options options)
      : loop_(loop), links_(links), options_(std::move(options)) {}

  /// Sets the instances that take batches now.
  void SetPeers(std::vector<relay_peer> peers) { peers_ = std::move(peers); }

  /// @param turn chooses where there are several
  /// @return relays of the failure domain among which so many shards are
  ///   divided; none if no relay may be used
  [[nodiscard]] std::vector<relay_peer> Choose(
      const std::string& failure_domain, std::size_t shards,
      std::size_t turn) const;

  /// @return failure domains with a relay that may be used; the own one only
  ///   where it has a much stronger instance
  [[nodiscard]] std::set<std::string> Domains() const;

  /// Sends a batch.
  /// @return its id, for Cancel; 0 if the relay cannot be reached
  std::uint64_t Send(const relay_peer& relay, const outbound_request& request,
                     std::size_t most_records, std::vector<std::string> shards,
                     relay_handlers on);

  /// The batch is needed no more; its handlers do not run.
  void Cancel(std::uint64_t id);

  void OnReply(const endpoint& relay, frame_kind kind, std::string_view bytes);
  void OnLost(const endpoint& relay);

 private:
  struct batch {
    endpoint relay;
    relay_handlers on;
    timer_id taken_timer = 0;
  };

  [[nodiscard]] std::vector<relay_peer> Usable(
      const std::string& failure_domain) const;
  void Fail(const endpoint& relay, const char* why);

  event_loop& loop_;
  relay_links& links_;
  relay_client_options options_;
  std::vector<relay_peer> peers_;
  std::map<endpoint, instant> avoid_until_;
  std::map<std::uint64_t, batch> batches_;
  std::uint64_t last_id_ = 0;
};

}  // namespace basilhoist
