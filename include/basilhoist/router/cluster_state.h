// State of the platform as a router sees it, from the store and from peers.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilhoist/directory/server_directory.h"
#include "basilhoist/knowledge/instance_registry.h"
#include "basilhoist/knowledge/object_feed.h"
#include "basilhoist/knowledge/peer_catch_up.h"
#include "basilhoist/knowledge/peer_exchange.h"
#include "basilhoist/knowledge/reader_role.h"
#include "basilhoist/knowledge/suspect_archive.h"
#include "basilhoist/router/platform_binding.h"
#include "basilhoist/router/router_settings.h"
#include "basilhoist/router/server_entries.h"

namespace basilhoist {

/// Keeps the routing table, the server directory and the evacuations up to
/// date, and discovers peers. Some instances of each failure domain, the
/// readers, follow the store; the others fetch changes from peers.
class cluster_state {
 public:
  /// Functions through which the router supplies state and receives changes.
  struct handlers {
    /// Called when a newer routing table takes effect.
    std::function<void(routing_table_ptr)> on_table;
    /// Returns the requests that crash servers, to be reported to peers.
    std::function<std::vector<suspect_report>()> suspects_to_report;
    /// Called with the requests that crash servers as peers or the store report
    /// them.
    std::function<void(const std::vector<suspect_report>&)> on_suspects;
    /// Returns the rate limits of servers, to be reported to peers.
    std::function<std::vector<rate_limit_report>()> rate_limits_to_report;
    /// Called with the rate limits that a peer reports.
    std::function<void(const std::vector<rate_limit_report>&)> on_rate_limits;
    /// Returns the slow and silent servers, to be reported to peers.
    std::function<std::vector<server_health_report>()> server_health_to_report;
    /// Called with the slow and silent servers that a peer reports.
    std::function<void(const std::vector<server_health_report>&)>
        on_server_health;
    /// Returns the reports of overload, to be sent or passed on to peers.
    std::function<std::vector<admission_report>()> admission_to_report;
    /// Called with the reports of overload that a peer sends.
    std::function<void(const std::vector<admission_report>&)> on_admission;
    /// Called with the orders of rollouts when they have changed.
    std::function<void(const object_snapshot&)> on_rollouts;
    /// Called with each datagram of a peer first; returns whether it has
    /// handled it.
    std::function<bool(std::string_view)> on_datagram;
    /// Called with the peers that are alive, each time a peer's state arrives.
    std::function<void(const std::vector<known_peer>&)> on_peers;
    /// Called when the number of instances, or this instance's share of the
    /// limits that they share, has changed.
    std::function<void(const instance_share&)> on_instances;
  };

  cluster_state(event_loop& loop, http_client& http,
                const router_settings& settings, platform_binding platform,
                server_directory& directory, handlers callbacks);

  /// @return whether the socket for gossip could be bound
  [[nodiscard]] bool Bound() const { return peers_.Bound(); }
  void Start();

  /// Gossips to several peers without waiting for the next round. Peers that
  /// did not know of the change do the same.
  void SendUpdate() { peers_.GossipSoon(); }

  /// Sends a datagram of another part to a peer.
  void SendTo(const endpoint& peer, const std::string& bytes) {
    peers_.SendTo(peer, bytes);
  }

  [[nodiscard]] object_store& Store() { return store_; }

  /// Writes a refused request to the store, so that instances refuse it after a
  /// restart too.
  void StoreSuspect(const suspect_report& report);

  /// Tells peers whether this instance reaches the backend servers. While it
  /// does not, they send it no batches or requests.
  void SetIsolated(bool isolated);

  /// Reports to peers that this router is shutting down.
  void AnnounceShutdown();

  /// @return whether requests can be served
  [[nodiscard]] bool Ready() const;

  /// @param since revision that the peer holds
  /// @param era era of that revision; nothing if the peer does not know of eras
  /// @return the snapshot of a kind in the format for peers; empty if none is
  ///   known
  [[nodiscard]] std::string SnapshotText(
      const std::string& kind, std::uint64_t since,
      std::optional<std::uint64_t> era = std::nullopt) const;
  [[nodiscard]] std::uint64_t StoreEra() const { return store_.Era(); }

  [[nodiscard]] const std::vector<std::unique_ptr<object_feed>>& Feeds() const {
    return feeds_;
  }
  [[nodiscard]] const peer_table& Peers() const { return peers_.Peers(); }
  [[nodiscard]] const peer_exchange& Exchange() const { return peers_; }
  [[nodiscard]] bool ReadsStore() const { return role_.IsReader(); }

  /// @return the readers of the local failure domain, as far as gossip shows
  [[nodiscard]] reader_counts Readers() const;
  [[nodiscard]] std::uint64_t StoreCalls() const { return store_.Calls(); }

 private:
  using feed_handler = void (cluster_state::*)(const object_feed&);

  void AddFeed(const std::string& kind, feed_handler on_change,
               restore_policy policy);
  void OnStoreEra(std::uint64_t before, std::uint64_t era);
  void RestoreOwnObjects(std::uint64_t era);
  [[nodiscard]] object_feed* FindFeed(const std::string& kind) const;
  void OnRouting(const object_feed& feed);
  void OnServers(const object_feed& feed);
  void OnEvacuations(const object_feed& feed);
  void OnRollouts(const object_feed& feed);
  void UpdateRole();
  /// @return whether the store answered the last call of each feed
  [[nodiscard]] bool StoreAnswers() const;
  void OnPeer(const peer_state& state);
  /// @return whether this instance holds what its peers hold, or has waited
  ///   for it long enough after its start
  [[nodiscard]] bool CaughtUp() const;
  void FillOwnState(peer_state& state) const;
  /// Calls on_instances if the number of instances or the share has changed.
  void UpdateInstances();

  event_loop& loop_;
  router_settings settings_;
  platform_binding platform_;
  server_directory& directory_;
  server_entries server_entries_;
  handlers callbacks_;
  object_store store_;
  suspect_archive archive_;
  std::vector<std::unique_ptr<object_feed>> feeds_;
  peer_exchange peers_;
  instance_registry registry_;
  reader_role role_;
  // Whether this instance has followed the store, or has known an instance that
  // does; from then on it learns of changes.
  bool receives_updates_ = false;
  // Whether this instance has made the calls that only readers make: a read of
  // the suspects that must not be stale, and the registration.
  bool reader_calls_made_ = false;
  struct stored_suspect {
    suspect_report report;
    instant at;
  };
  std::vector<stored_suspect> stored_suspects_;  // written by this instance
  // Highest era in which this instance's objects are in the store.
  std::uint64_t own_objects_era_ = 0;
  pcg32 random_;
  peer_catch_up catch_up_;
  std::uint64_t table_version_ = 0;
  bool shutting_down_ = false;
  bool isolated_ = false;
  instance_share share_;
};

}  // namespace basilhoist
