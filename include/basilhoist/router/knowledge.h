// What a router knows of the platform, from the store and from its peers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "basilhoist/directory/server_directory.h"
#include "basilhoist/knowledge/lead_tracker.h"
#include "basilhoist/knowledge/object_feed.h"
#include "basilhoist/knowledge/peer_exchange.h"
#include "basilhoist/knowledge/suspect_archive.h"
#include "basilhoist/router/platform_binding.h"
#include "basilhoist/router/router_settings.h"

namespace basilhoist {

/// Keeps routing table, servers and evacuations; finds peers.
class knowledge {
 public:
  struct handlers {
    /// A newer routing table is in force.
    std::function<void(routing_table_ptr)> on_table;
    /// Requests that crash servers, to tell peers of and as told by them.
    std::function<std::vector<suspect_report>()> suspects;
    std::function<void(const std::vector<suspect_report>&)> on_suspects;
    /// What peers told last.
    std::function<void(const std::vector<peer_state>&)> on_peers;
    /// More or fewer instances share the limits.
    /// The count of instances, or this one's part, has changed.
    std::function<void(const instance_part&)> on_instances;
  };

  knowledge(event_loop& loop, http_client& http,
            const router_settings& settings, platform_binding platform,
            server_directory& directory, handlers on);

  [[nodiscard]] bool Bound() const { return peers_.Bound(); }
  void Start();

  /// Tells several peers at once of what should not wait for a round; those
  /// for whom it is news do the same.
  void TellNews() { peers_.TellNews(); }

  /// Keeps a request that is refused for instances that restart.
  void KeepSuspect(const suspect_report& report) { archive_.Write(report); }

  /// Tells peers that this router is about to end.
  void Leave();

  /// @return whether requests can be served
  [[nodiscard]] bool Ready() const;

  /// @return a kind's snapshot as text for a peer, or empty if it is unknown
  [[nodiscard]] std::string SnapshotText(const std::string& kind,
                                         std::uint64_t since) const;

  [[nodiscard]] const std::vector<std::unique_ptr<object_feed>>& Feeds() const {
    return feeds_;
  }
  [[nodiscard]] const peer_table& Peers() const { return peers_.Peers(); }
  [[nodiscard]] std::uint64_t StoreCalls() const { return store_.Calls(); }

 private:
  object_feed& AddFeed(const std::string& kind,
                       std::function<void(const object_feed&)> on_change);
  [[nodiscard]] object_feed* FeedOf(const std::string& kind) const;
  void OnRouting(const object_feed& feed);
  void OnServers(const object_feed& feed);
  void OnEvacuations(const object_feed& feed);
  void Register(bool exists);
  void ListInstances(const std::string& after);
  void OnPeer(const peer_state& state);
  void Compare(const held_snapshot& theirs, const std::string& fetch_address);
  void Fetch(const std::string& kind, const std::string& fetch_address);
  void Fill(peer_state& state) const;
  void CountInstances();

  event_loop& loop_;
  http_client& http_;
  router_settings settings_;
  platform_binding platform_;
  server_directory& directory_;
  handlers on_;
  object_store store_;
  suspect_archive archive_;
  std::vector<std::unique_ptr<object_feed>> feeds_;
  peer_exchange peers_;
  std::uint64_t incarnation_;
  std::uint64_t table_version_ = 0;
  bool leaving_ = false;
  instance_part part_;
  // Since when a peer has held more of a kind than the store told here.
  std::map<std::string, lead_tracker> leads_;  // by kind
  std::map<std::string, instant> fetched_at_;
};

}  // namespace basilhoist
