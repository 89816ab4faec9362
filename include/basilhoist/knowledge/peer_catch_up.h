// Fetches from peers what they know of the store before this instance.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>

#include "basilhoist/http/http_client.h"
#include "basilhoist/knowledge/object_feed.h"
#include "basilhoist/knowledge/stalled_watch_detector.h"
#include "basilhoist/knowledge/start_catch_up.h"
#include "basilhoist/link/messages.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// Adds to a state what peers compare with their own snapshot of a feed.
void DescribeFeed(const object_feed& feed, peer_state& state);

/// Compares the snapshots of peers with those of the own feeds. A newer one is
/// fetched; if the own watch of the store has stalled, the feed lists again.
class peer_catch_up {
 public:
  /// @return the feed of a kind of objects; null if there is none
  using find_function = std::function<object_feed*(const std::string& kind)>;

  /// @param random draws the delays of fetches
  peer_catch_up(event_loop& loop, http_client& http, pcg32& random,
                find_function find_feed);

  /// Called when this instance starts.
  void Start() { startup_.Start(Now()); }

  /// Called with each state that a peer reports.
  void OnPeer(const peer_state& state);

  /// @return what is still to be fetched after the start
  [[nodiscard]] const start_catch_up& Startup() const { return startup_; }

 private:
  /// What a peer tells of the era of a snapshot.
  struct peer_era {
    std::optional<std::uint64_t> era;
    bool has_beliefs = false;
  };

  [[nodiscard]] static peer_era EraOf(const peer_state& state,
                                      const std::string& kind);
  void Compare(const held_snapshot& theirs, const peer_era& their_era,
               const std::string& fetch_address);
  /// Fetches a snapshot from a peer, after a random delay if one is known here.
  void Fetch(const std::string& kind, const std::string& fetch_address);
  void FetchNow(const std::string& kind, const std::string& fetch_address);
  void OnFetched(const std::string& kind, http_result& result);

  event_loop& loop_;
  http_client& http_;
  pcg32& random_;
  find_function find_feed_;
  start_catch_up startup_;
  // By kind: whether a peer has held a newer revision for too long.
  std::map<std::string, stalled_watch_detector> watch_detectors_;
  // By kind: when a snapshot was last requested from a peer.
  std::map<std::string, instant> last_fetch_;
};

}  // namespace basilhoist
