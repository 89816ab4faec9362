#include "basilhoist/router/cluster_state.h"

#include <algorithm>
#include <utility>

#include "basilhoist/dispatch/crash_guard.h"
#include "basilhoist/knowledge/snapshot_text.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

constexpr milliseconds kExpirePeriod{250};
constexpr milliseconds kRolePeriod{100};
// Readers write their registrations again within this time.
constexpr int kRestoreSpreadMs = 2000;

std::uint32_t ToPermille(double cpu_cores) {
  return std::max(1U, static_cast<std::uint32_t>(cpu_cores * kPermille));
}

}  // namespace

cluster_state::cluster_state(event_loop& loop, http_client& http,
                             const router_settings& settings,
                             platform_binding platform,
                             server_directory& directory, handlers callbacks)
    : loop_(loop),
      settings_(settings),
      platform_(std::move(platform)),
      directory_(directory),
      server_entries_(platform_.decoder),
      callbacks_(std::move(callbacks)),
      store_(http, {.address = Format(settings.store_address),
                    .dialect = platform_.dialect}),
      archive_(loop, store_, platform_.kinds.suspects, crash_guard::kRetention,
               [this](const std::vector<suspect_report>& reports) {
                 callbacks_.on_suspects(reports);
               }),
      peers_(
          loop,
          {.self = settings.peer_address,
           .processor_permille = ToPermille(settings.cpu_cores),
           .gossip = {.failure_domain = settings.failure_domain},
           .seed = std::hash<std::string>()(settings.name)},
          {.fill = [this](peer_state& state) { FillOwnState(state); },
           .on_state = [this](const peer_state& state) { OnPeer(state); },
           .rate_limits = [this] { return callbacks_.rate_limits_to_report(); },
           .on_rate_limits =
               [this](const std::vector<rate_limit_report>& reports) {
                 callbacks_.on_rate_limits(reports);
               },
           .server_health = callbacks_.server_health_to_report,
           .on_server_health = callbacks_.on_server_health,
           .on_datagram =
               [this](std::string_view bytes) {
                 return callbacks_.on_datagram(bytes);
               },
           .admission = callbacks_.admission_to_report,
           .on_admission = callbacks_.on_admission}),
      registry_(
          loop, store_,
          {.kind = platform_.kinds.instances,
           .name = settings.name,
           .address = settings.peer_address},
          {.on_address =
               [this](const endpoint& address) { peers_.AddAddress(address); },
           .on_page =
               [this] {
                 UpdateInstances();
                 peers_.GossipSoon();
               }}),
      random_(std::hash<std::string>()(settings.name)),
      catch_up_(loop, http, random_,
                [this](const std::string& kind) { return FindFeed(kind); }) {
  const auto decoder = platform_.decoder;
  AddFeed(
      platform_.kinds.routing, &cluster_state::OnRouting,
      {.rank = [decoder](
                   const object& table) { return decoder->RoutingRank(table); },
       .keep_missing = true});
  // Servers that the copy lacks stay in the directory for a while.
  AddFeed(platform_.kinds.servers, &cluster_state::OnServers,
          {.rank = [decoder](const object& server) {
            return decoder->ServerRank(server);
          }});
  AddFeed(platform_.kinds.evacuations, &cluster_state::OnEvacuations,
          {.keep_missing = true});
  if (settings.rollouts) {
    AddFeed(platform_.kinds.rollouts, &cluster_state::OnRollouts,
            {.keep_missing = true});
  }
  store_.OnEraChange([this](std::uint64_t before, std::uint64_t era) {
    OnStoreEra(before, era);
  });
}

// Called during a call to the store, whose result is still to be handled.
void cluster_state::OnStoreEra(std::uint64_t before, std::uint64_t era) {
  event_line("store", "era_changed").With("before", before).With("era", era);
  if (before == 0) {  // the first answer of this store
    RestoreOwnObjects(era);
    return;
  }
  loop_.Post([this, era] {
    for (const auto& feed : feeds_) feed->OnStoreEra(era);
  });
  RestoreOwnObjects(era);
}

// Writes again what this instance has written. Instances do so at different
// times; followers hear of the era from peers.
void cluster_state::RestoreOwnObjects(std::uint64_t era) {
  if (era <= own_objects_era_) return;
  const std::uint64_t before = std::exchange(own_objects_era_, era);
  if (before == 0) return;
  const milliseconds delay(random_(kRestoreSpreadMs));
  loop_.After(delay, [this] {
    if (reader_calls_made_) registry_.Restore();
    const instant now = Now();
    std::erase_if(stored_suspects_, [now](const stored_suspect& each) {
      return now - each.at >= crash_guard::kRetention;
    });
    for (const stored_suspect& each : stored_suspects_) {
      archive_.Write(each.report);
    }
  });
}

void cluster_state::StoreSuspect(const suspect_report& report) {
  stored_suspects_.push_back({.report = report, .at = Now()});
  archive_.Write(report);
}

void cluster_state::AddFeed(const std::string& kind, feed_handler on_change,
                            restore_policy policy) {
  feeds_.push_back(std::make_unique<object_feed>(
      loop_, store_, kind,
      [this, on_change](const object_feed& feed) {
        (this->*on_change)(feed);
        RestoreOwnObjects(feed.State().Snapshot().era);
        // Instances that do not follow the store learn of the change from here.
        if (feed.FollowsStore()) peers_.GossipSoon();
      },
      std::move(policy)));
}

object_feed* cluster_state::FindFeed(const std::string& kind) const {
  for (const auto& feed : feeds_) {
    if (feed->Kind() == kind) return feed.get();
  }
  return nullptr;
}

void cluster_state::Start() {
  catch_up_.Start();
  for (const endpoint& seed : settings_.seeds) peers_.AddAddress(seed);
  for (const auto& feed : feeds_) feed->Start();
  archive_.Read(true);
  registry_.List(true);
  peers_.Start();
  UpdateInstances();
  UpdateRole();
  loop_.Every(kRolePeriod, [this] { UpdateRole(); });
  loop_.Every(kExpirePeriod, [this] {
    if (directory_.Expire(Now())) {
      event_line("knowledge", "missing_servers_dropped")
          .With("count", directory_.Size());
    }
    for (const auto& feed : feeds_) feed->ExpireBeliefs();
    UpdateInstances();
  });
}

bool cluster_state::Ready() const {
  return receives_updates_ && table_version_ > 0 &&
         FindFeed(platform_.kinds.servers)->State().HasSnapshot();
}

std::string cluster_state::SnapshotText(
    const std::string& kind, std::uint64_t since,
    std::optional<std::uint64_t> era) const {
  const object_feed* feed = FindFeed(kind);
  if (feed == nullptr || !feed->State().HasSnapshot()) return {};
  return FormatSnapshot(feed->State(), since, Now(), era);
}

void cluster_state::OnRouting(const object_feed& feed) {
  const auto table = platform_.decoder->Routing(feed.State().Snapshot());
  if (!table || table->Version() <= table_version_) return;
  event_line("knowledge", "table_in_force")
      .With("version", table->Version())
      .With("before", table_version_)
      .With("routes", table->Routes().size())
      .With("revision", feed.State().Snapshot().revision);
  table_version_ = table->Version();
  callbacks_.on_table(table);
}

void cluster_state::OnServers(const object_feed& feed) {
  const object_snapshot& removed = feed.State().Removed();
  if (!removed.objects.empty()) {
    server_entries final_entries(platform_.decoder);
    directory_.ApplyFinalEntries(final_entries.Decode(removed));
  }
  directory_.Apply(server_entries_.Decode(feed.State().Snapshot()), Now(),
                   feed.State().RemovedSince());
  event_line("knowledge", "servers_taken")
      .With("count", directory_.Size())
      .With("missing", directory_.MissingCount())
      .With("revision", feed.State().Snapshot().revision);
}

void cluster_state::OnEvacuations(const object_feed& feed) {
  auto domains = platform_.decoder->EvacuatedDomains(feed.State().Snapshot());
  event_line("knowledge", "evacuations_taken")
      .With("domains", domains)
      .With("revision", feed.State().Snapshot().revision);
  directory_.SetEvacuated(std::move(domains));
}

void cluster_state::OnRollouts(const object_feed& feed) {
  callbacks_.on_rollouts(feed.State().Snapshot());
}

bool cluster_state::CaughtUp() const {
  const auto& peers = peers_.Peers().Peers();
  const bool heard_peer = std::any_of(
      peers.begin(), peers.end(),
      [](const auto& entry) { return entry.second.ReceivedDirectly(); });
  return catch_up_.Startup().Done(!peers.empty(), heard_peer, Now());
}

reader_counts cluster_state::Readers() const {
  return CountReaders(peers_.Peers(),
                      {.address = settings_.peer_address,
                       .failure_domain = settings_.failure_domain,
                       .processor_permille = ToPermille(settings_.cpu_cores)},
                      Now());
}

void cluster_state::UpdateRole() {
  const reader_counts counts = Readers();
  const bool was_reader = role_.IsReader();
  const bool is_reader = role_.Decide(counts, Now());
  // Without a reader, be it this instance or a peer, this instance does not
  // learn of changes to the snapshots that it listed at the start; until then
  // it is not ready.
  if (!receives_updates_ && (is_reader || counts.following > 0) && CaughtUp()) {
    receives_updates_ = true;
    event_line("knowledge", "receives_updates")
        .With("readers", counts.readers)
        .With("kinds_behind", catch_up_.Startup().KindsBehind());
  }
  if (is_reader != was_reader) {
    event_line("knowledge", is_reader ? "reads_store" : "follows_readers")
        .With("readers", counts.readers)
        .With("trying", counts.following);
    for (const auto& feed : feeds_) feed->SetFollowsStore(is_reader);
    // Only readers register themselves in the store, as contacts for instances
    // that know no peer yet.
    if (is_reader && !std::exchange(reader_calls_made_, true)) {
      archive_.Read(false);
      registry_.Register();
    }
  }
  const reader_place place =
      PlaceAmongReaders(peers_.Peers(), settings_.peer_address, Now());
  for (const auto& feed : feeds_) feed->SetPlace(place);
  peers_.SetRole(is_reader, counts.readers > 0);
}

void cluster_state::OnPeer(const peer_state& state) {
  if (!state.suspects.empty()) callbacks_.on_suspects(state.suspects);
  callbacks_.on_peers(peers_.AlivePeers());
  catch_up_.OnPeer(state);
}

void cluster_state::FillOwnState(peer_state& state) const {
  state.name = settings_.name;
  state.fetch_address = Format(settings_.ops_address);
  state.serving = !shutting_down_ && !isolated_ && Ready();
  state.suspects = callbacks_.suspects_to_report();
  state.store_answers = StoreAnswers();
  for (const auto& feed : feeds_) DescribeFeed(*feed, state);
}

bool cluster_state::StoreAnswers() const {
  return std::all_of(feeds_.begin(), feeds_.end(), [](const auto& feed) {
    return feed->State().HasSnapshot() && feed->State().Healthy();
  });
}

void cluster_state::AnnounceShutdown() {
  shutting_down_ = true;
  peers_.GossipNow();
}

void cluster_state::SetIsolated(bool isolated) {
  isolated_ = isolated;
  peers_.GossipNow();
}

void cluster_state::UpdateInstances() {
  const instant now = Now();
  const peer_table& peers = peers_.Peers();
  const instance_share share{
      .instance_count = peers.InstanceCount(),
      .share = peers.Share(now),
      .relay_share = peers.RelayShare(now, settings_.failure_domain)};
  if (share == share_) return;
  share_ = share;
  callbacks_.on_instances(share);
}

}  // namespace basilhoist
