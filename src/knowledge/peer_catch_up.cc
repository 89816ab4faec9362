#include "basilhoist/knowledge/peer_catch_up.h"

#include <utility>

#include "basilhoist/knowledge/snapshot_text.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Minimum time between two fetches of one kind from peers.
constexpr milliseconds kFetchInterval{400};
constexpr milliseconds kFetchTimeout{800};
// All followers of a reader receive its gossip of a change at about the same
// time; their fetches are spread over this time.
constexpr int kFetchSpreadMs = 60;
constexpr int kHttpOk = 200;
// Appended to a kind in what peers tell of their snapshots. Instances of older
// builds ignore entries of kinds that they do not know, so the era and the
// beliefs of a feed are entries of their own.
constexpr const char* kEraSuffix = "#era";
constexpr const char* kBeliefsSuffix = "#beliefs";

}  // namespace

void DescribeFeed(const object_feed& feed, peer_state& state) {
  if (!feed.State().HasSnapshot()) return;
  state.held.push_back({.kind = feed.Kind(),
                        .revision = feed.State().Snapshot().revision,
                        .digest = feed.Digest()});
  if (feed.State().Snapshot().era == 0) return;
  state.held.push_back({.kind = feed.Kind() + kEraSuffix,
                        .revision = feed.State().Snapshot().era});
  if (feed.State().Beliefs().Active()) {
    state.held.push_back({.kind = feed.Kind() + kBeliefsSuffix});
  }
}

peer_catch_up::peer_catch_up(event_loop& loop, http_client& http, pcg32& random,
                             find_function find_feed)
    : loop_(loop),
      http_(http),
      random_(random),
      find_feed_(std::move(find_feed)) {}

void peer_catch_up::OnPeer(const peer_state& state) {
  for (const held_snapshot& snapshot : state.held) {
    Compare(snapshot, EraOf(state, snapshot.kind), state.fetch_address);
  }
}

peer_catch_up::peer_era peer_catch_up::EraOf(const peer_state& state,
                                             const std::string& kind) {
  peer_era result;
  for (const held_snapshot& each : state.held) {
    if (each.kind == kind + kEraSuffix) result.era = each.revision;
    if (each.kind == kind + kBeliefsSuffix) result.has_beliefs = true;
  }
  return result;
}

void peer_catch_up::Compare(const held_snapshot& theirs,
                            const peer_era& their_era,
                            const std::string& fetch_address) {
  object_feed* feed = find_feed_(theirs.kind);
  if (feed == nullptr) return;
  const feed_state& ours = feed->State();
  const std::uint64_t own_era = ours.Snapshot().era;
  if (their_era.has_beliefs && their_era.era == own_era && ours.HasSnapshot() &&
      ours.Beliefs().MayJoin(own_era)) {
    startup_.OnBehind(theirs.kind, Now());
    Fetch(theirs.kind, fetch_address);
    return;
  }
  const revision_comparison revisions{
      .own = ours.Snapshot().revision,
      .peer = theirs.revision,
      .same_content = theirs.digest == feed->Digest(),
      .own_era = own_era,
      .peer_era = their_era.era.value_or(own_era)};
  const bool stalled =
      watch_detectors_[theirs.kind].OnPeerRevision(revisions, Now());
  const feed_condition own{.has_snapshot = ours.HasSnapshot(),
                           .healthy = ours.Healthy(),
                           .listing = ours.Listing(),
                           .follows_store = feed->FollowsStore()};
  // The peer will compare the store's copy with what it holds.
  if (ours.HasSnapshot() && revisions.peer_era < own_era) {
    startup_.OnBehind(theirs.kind, Now());
  }
  switch (ChooseCatchUp(own, revisions.PeerIsAhead(), stalled)) {
    case catch_up_action::kNothing:
      return;
    case catch_up_action::kFetchFromPeer:
      startup_.OnBehind(theirs.kind, Now());
      Fetch(theirs.kind, fetch_address);
      return;
    case catch_up_action::kListAgain:
      event_line("knowledge", "watch_behind_peer")
          .With("kind", theirs.kind)
          .With("revision", revisions.own)
          .With("peer_revision", revisions.peer);
      feed->Relist();
      return;
  }
}

void peer_catch_up::Fetch(const std::string& kind,
                          const std::string& fetch_address) {
  const instant now = Now();
  instant& last = last_fetch_[kind];
  if (last > instant() && now - last < kFetchInterval) return;
  last = now;
  if (!find_feed_(kind)->State().HasSnapshot()) {
    FetchNow(kind, fetch_address);
    return;
  }
  const milliseconds delay(random_(kFetchSpreadMs));
  loop_.After(delay,
              [this, kind, fetch_address] { FetchNow(kind, fetch_address); });
}

void peer_catch_up::FetchNow(const std::string& kind,
                             const std::string& fetch_address) {
  const feed_state& ours = find_feed_(kind)->State();
  const std::uint64_t since = ours.HasSnapshot() ? ours.Snapshot().revision : 0;
  http_.Start({.url = "http://" + fetch_address + "/snapshots/" + kind +
                      "?since=" + std::to_string(since) +
                      "&era=" + std::to_string(ours.Snapshot().era),
               .timeout = kFetchTimeout},
              [this, kind](http_result& result) { OnFetched(kind, result); });
}

void peer_catch_up::OnFetched(const std::string& kind, http_result& result) {
  if (!result.HasReply() || result.Status() != kHttpOk) {
    last_fetch_[kind] = {};  // Allows a fetch from another peer at once.
    return;
  }
  object_feed* feed = find_feed_(kind);
  const auto offered =
      ParseSnapshot(result.Body(), feed->State().Snapshot(), Now());
  if (!offered) {
    event_line("knowledge", "snapshot_unreadable").With("kind", kind);
    return;
  }
  feed->AdoptIfNewer(*offered);
  startup_.OnFetched(kind);
}

}  // namespace basilhoist
