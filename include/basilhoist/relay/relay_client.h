// Sends batches of shards to relays: instances in the failure domains of the
// shards' servers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/dispatch/service_call.h"
#include "basilhoist/knowledge/peer_table.h"
#include "basilhoist/relay/relay_links.h"

namespace basilhoist {

/// An instance that accepts batches.
struct relay_peer {
  endpoint address;
  std::string failure_domain;
  double cpu_cores = 1;  ///< CPU cores available to the instance.
  /// Whether it takes batches. One that does not may still take whole requests,
  /// for example during its shutdown.
  bool serving = true;

  auto operator<=>(const relay_peer&) const = default;
};

/// Location and capacity of the instance that sends batches.
struct relay_client_options {
  std::string failure_domain;
  double cpu_cores = 1;  ///< CPU cores available to the instance.
};

/// Handlers for the results of a batch.
struct batch_handlers {
  /// Called for each update that has shard results.
  std::function<void(const relay_update&)> on_update;
  /// Called when the relay did not accept the batch in time or its link closed,
  /// unless all shards have a result. A shard that the relay returned has one.
  /// @param shards indexes into the batch of the shards without a result, which
  ///   the sender must now send itself
  std::function<void(const std::vector<std::uint32_t>& shards)> on_lost;
};

/// Sends batches to relays and tracks them until all their shards have a result
/// or they are cancelled or lost.
class relay_client {
 public:
  /// Time within which a relay must confirm that it accepted a batch. A relay
  /// confirms at once; one that does not is frozen, unreachable or overloaded.
  static constexpr milliseconds kAcceptTimeout{25};
  /// A relay that failed receives no batches for this duration.
  static constexpr milliseconds kFailureBackoff{1000};
  /// Subtracted from the objective and the deadline of a relayed request, for
  /// the transfer of the update and its handling at both ends.
  static constexpr milliseconds kReturnMargin{4};

  /// A local instance, that is one in the same failure domain, is used as a
  /// relay only if it has at least this many times the CPU cores of the sender,
  /// since a batch costs work at both ends.
  static constexpr double kMinLocalCpuRatio = 2;
  /// An instance with less than this fraction of the CPU cores of the largest
  /// instance in its failure domain receives no batches. With fewer instances
  /// in use, more of their connections to servers stay warm.
  static constexpr double kMinCpuRatio = peer_table::kMinRelayRatio;
  /// A batch is divided among several relays only if each of them gets at least
  /// this many shards. One relay sends that many before another one would have
  /// started on its share.
  static constexpr std::size_t kMinShardsPerRelay = 24;

  relay_client(event_loop& loop, relay_links& links,
               relay_client_options options)
      : loop_(loop), links_(links), options_(std::move(options)) {}

  /// Sets the handler for the rate limits that keep relays from sending shards.
  /// It is called before the update that returns the shards.
  void OnRateLimit(std::function<void(const rate_limit_report&)> handler) {
    on_rate_limit_ = std::move(handler);
  }

  /// Sets the handler for relays that do not answer or whose link closed; what
  /// was sent to one over its link is lost.
  void OnRelayLost(std::function<void(const endpoint&)> handler) {
    on_relay_lost_ = std::move(handler);
  }

  /// Replaces the list of instances that accept batches.
  void SetPeers(std::vector<relay_peer> peers) { peers_ = std::move(peers); }

  /// Chooses the relays among which a batch is divided.
  /// @param failure_domain failure domain of the relays
  /// @param shard_count number of shards in the batch
  /// @param rotation offset in the list of usable relays, to spread batches
  /// @return the relays; empty if none is usable
  [[nodiscard]] std::vector<relay_peer> ChooseRelays(
      const std::string& failure_domain, std::size_t shard_count,
      std::size_t rotation) const;

  /// @return failure domains with a usable relay; includes the local one only
  ///   if an instance there has at least kMinLocalCpuRatio times the CPU cores
  ///   of this one
  [[nodiscard]] std::set<std::string> UsableDomains() const;

  /// Chooses a peer of any failure domain for a whole request, by chance, but
  /// stronger ones more often. Peers that are not serving are a last resort.
  /// @param excluded peers that are not to be chosen
  /// @param chance a random number from 0 to less than 1
  /// @return the peer, or nothing if none is usable
  [[nodiscard]] std::optional<relay_peer> ChoosePeer(
      const std::set<endpoint>& excluded, double chance) const;

  /// Gives up a relay that does not answer, or rejects all that it gets, for
  /// kFailureBackoff.
  /// @param cause for the log
  void FailRelay(const endpoint& relay, const char* cause);

  /// As FailRelay, but keeps its link and the batches on it.
  void AvoidRelay(const endpoint& relay) {
    backoff_until_[relay] = Now() + kFailureBackoff;
  }

  /// Sends a batch.
  /// @param max_records limit on the merged records in each update
  /// @return its id, for Cancel; 0 if no link to the relay could be opened
  std::uint64_t Send(const relay_peer& relay, const outbound_request& request,
                     std::size_t max_records, std::vector<std::string> shards,
                     batch_handlers on);

  /// Cancels a batch at its relay. Its handlers are not called afterwards.
  void Cancel(std::uint64_t id);

  /// Handles a frame from a relay.
  void OnReply(const endpoint& relay, frame_kind kind, std::string_view bytes);
  /// Handles the loss of the link to a relay.
  void OnDisconnect(const endpoint& relay);

 private:
  struct batch {
    endpoint relay;
    batch_handlers on;
    std::size_t shards = 0;
    std::set<std::uint32_t> unfinished;  // indexes of shards without a result
    timer_id accept_timer = 0;
  };

  [[nodiscard]] std::vector<relay_peer> UsableRelays(
      const std::string& failure_domain) const;
  [[nodiscard]] bool IsAvoided(const endpoint& relay, instant now) const;
  [[nodiscard]] std::optional<relay_peer> ChoosePeer(
      const std::set<endpoint>& excluded, double chance, bool serving) const;

  event_loop& loop_;
  relay_links& links_;
  relay_client_options options_;
  std::vector<relay_peer> peers_;
  std::map<endpoint, instant> backoff_until_;
  std::map<std::uint64_t, batch> batches_;
  std::uint64_t last_id_ = 0;
  std::function<void(const rate_limit_report&)> on_rate_limit_ =
      [](const rate_limit_report&) {};
  std::function<void(const endpoint&)> on_relay_lost_ = [](const endpoint&) {};
};

}  // namespace basilhoist
