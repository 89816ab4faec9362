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
#include "basilhoist/knowledge/reader_role.h"
#include "basilhoist/knowledge/suspect_archive.h"
#include "basilhoist/router/platform_binding.h"
#include "basilhoist/router/router_settings.h"

namespace basilhoist {

/// Keeps routing table, servers and evacuations; finds peers.
class cluster_state {
 public:
  struct handlers {
    /// A newer routing table is in force.
    std::function<void(routing_table_ptr)> on_table;
    /// Requests that crash servers, to tell peers of and as told by them.
    std::function<std::vector<suspect_report>()> suspects;
    std::function<void(const std::vector<suspect_report>&)> on_suspects;
    /// Peers that were alive lately.
    std::function<void(const std::vector<known_peer>&)> on_peers;
    /// The count of instances, or this one's part, has changed.
    std::function<void(const instance_part&)> on_instances;
  };

  cluster_state(event_loop& loop, http_client& http,
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
  [[nodiscard]] const peer_exchange& Exchange() const { return peers_; }
  [[nodiscard]] bool ReadsStore() const { return role_.Reads(); }

  /// @return the readers of the own failure domain, as this instance sees them
  [[nodiscard]] reader_view Readers() const;
  [[nodiscard]] std::uint64_t StoreCalls() const { return store_.Calls(); }

 private:
  using feed_handler = void (cluster_state::*)(const object_feed&);

  void AddFeed(const std::string& kind, feed_handler on_change);
  [[nodiscard]] object_feed* FeedOf(const std::string& kind) const;
  void OnRouting(const object_feed& feed);
  void OnServers(const object_feed& feed);
  void OnEvacuations(const object_feed& feed);
  void Register(bool exists);
  void ListInstances(const std::string& after, bool may_be_stale);
  void DecideRole();
  [[nodiscard]] bool StoreAnswers() const;
  void OnPeer(const peer_state& state);
  void Compare(const held_snapshot& theirs, const std::string& fetch_address);
  void Fetch(const std::string& kind, const std::string& fetch_address);
  void FetchNow(const std::string& kind, const std::string& fetch_address);
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
  reader_role role_;
  bool follows_ = false;  // The store, or somebody who does.
  bool listed_ = false;   // The store has been asked what only readers ask.
  pcg32 random_;
  std::uint64_t table_version_ = 0;
  bool leaving_ = false;
  instance_part part_;
  // Since when a peer has held more of a kind than the store told here.
  std::map<std::string, lead_tracker> leads_;  // by kind
  std::map<std::string, instant> fetched_at_;
};

}  // namespace basilhoist
