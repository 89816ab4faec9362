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

  auto operator<=>(const relay_peer&) const = default;
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

  relay_client(event_loop& loop, relay_links& links)
      : loop_(loop), links_(links) {}

  /// Sets the instances that take batches now.
  void SetPeers(std::vector<relay_peer> peers) { peers_ = std::move(peers); }

  /// @param turn chooses one of several
  /// @return a relay of the failure domain, or null
  [[nodiscard]] const relay_peer* Choose(const std::string& failure_domain,
                                         std::size_t turn) const;

  /// @return failure domains with a relay that may be used
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

  void Fail(const endpoint& relay, const char* why);

  event_loop& loop_;
  relay_links& links_;
  std::vector<relay_peer> peers_;
  std::map<endpoint, instant> avoid_until_;
  std::map<std::uint64_t, batch> batches_;
  std::uint64_t last_id_ = 0;
};

}  // namespace basilhoist
