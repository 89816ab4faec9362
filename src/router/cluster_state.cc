#include "basilhoist/router/cluster_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "basilhoist/dispatch/crash_guard.h"
#include "basilhoist/knowledge/snapshot_text.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Tried again after a failure to write or read the list of instances.
constexpr milliseconds kRegisterRetry{1500};
// A peer's newer snapshot is fetched once the store has failed here for so
// long, and not more often than this for one kind.
constexpr milliseconds kFetchEvery{400};
constexpr milliseconds kFetchTimeout{800};
// All followers of a reader hear of a change at once; they fetch it spread over
// this time.
constexpr int kFetchSpreadMs = 60;
constexpr milliseconds kExpirePeriod{250};
constexpr milliseconds kRolePeriod{100};
constexpr int kHttpOk = 200;

std::uint32_t Permille(double cpu_cores) {
  return std::max(1U, static_cast<std::uint32_t>(cpu_cores * kPermille));
}

}  // namespace

cluster_state::cluster_state(event_loop& loop, http_client& http,
                             const router_settings& settings,
                             platform_binding platform,
                             server_directory& directory, handlers on)
    : loop_(loop),
      http_(http),
      settings_(settings),
      platform_(std::move(platform)),
      directory_(directory),
      on_(std::move(on)),
      store_(http, {.address = Format(settings.store_address),
                    .dialect = platform_.dialect}),
      archive_(loop, store_, platform_.kinds.suspects,
               crash_guard::kForgetAfter,
               [this](const std::vector<suspect_report>& reports) {
                 on_.on_suspects(reports);
               }),
      peers_(loop,
             {.self = settings.peer_address,
              .processor_permille = Permille(settings.cpu_cores),
              .tell = {.failure_domain = settings.failure_domain},
              .seed = std::hash<std::string>()(settings.name)},
             {.fill = [this](peer_state& state) { Fill(state); },
              .on_state = [this](const peer_state& s) { OnPeer(s); }}),
      random_(std::hash<std::string>()(settings.name)) {
  AddFeed(platform_.kinds.routing, &cluster_state::OnRouting);
  AddFeed(platform_.kinds.servers, &cluster_state::OnServers);
  AddFeed(platform_.kinds.evacuations, &cluster_state::OnEvacuations);
}

void cluster_state::AddFeed(const std::string& kind, feed_handler on_change) {
  feeds_.push_back(std::make_unique<object_feed>(
      loop_, store_, kind, [this, on_change](const object_feed& feed) {
        (this->*on_change)(feed);
        // Others follow this one.
        if (feed.Reads()) peers_.TellNews();
      }));
}

object_feed* cluster_state::FeedOf(const std::string& kind) const {
  for (const auto& each : feeds_) {
    if (each->Kind() == kind) return each.get();
  }
  return nullptr;
}

void cluster_state::Start() {
  for (const endpoint& each : settings_.seeds) peers_.Know(each);
  for (const auto& each : feeds_) each->Start();
  archive_.Read(true);
  ListInstances({}, true);
  peers_.Start();
  CountInstances();
  DecideRole();
  loop_.Every(kRolePeriod, [this] { DecideRole(); });
  loop_.Every(kExpirePeriod, [this] {
    if (directory_.Expire(Now())) {
      event_line("knowledge", "missing_servers_dropped")
          .With("count", directory_.Size());
    }
    CountInstances();
  });
}

bool cluster_state::Ready() const {
  return follows_ && table_version_ > 0 &&
         FeedOf(platform_.kinds.servers)->State().Known();
}

std::string cluster_state::SnapshotText(const std::string& kind,
                                        std::uint64_t since) const {
  const object_feed* feed = FeedOf(kind);
  if (feed == nullptr || !feed->State().Known()) return {};
  return FormatSnapshot(feed->State(), since, Now());
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
  on_.on_table(table);
}

void cluster_state::OnServers(const object_feed& feed) {
  const object_snapshot& removed = feed.State().Removed();
  if (!removed.objects.empty()) {
    directory_.TakeLast(platform_.decoder->Servers(removed));
  }
  directory_.Apply(platform_.decoder->Servers(feed.State().Snapshot()), Now(),
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

reader_view cluster_state::Readers() const {
  return ViewReaders(peers_.Peers(),
                     {.address = settings_.peer_address,
                      .failure_domain = settings_.failure_domain,
                      .processor_permille = Permille(settings_.cpu_cores)},
                     Now());
}

void cluster_state::DecideRole() {
  const reader_view view = Readers();
  const bool before = role_.Reads();
  const bool reads = role_.Decide(view, Now());
  // Until then, nothing would tell of a change of what was read at the start.
  follows_ = follows_ || reads || view.trying > 0;
  if (reads != before) {
    event_line("knowledge", reads ? "reads_store" : "follows_readers")
        .With("readers", view.readers)
        .With("trying", view.trying);
    for (const auto& each : feeds_) each->SetReading(reads);
    if (reads && !std::exchange(listed_, true)) {
      archive_.Read(false);
      Register(false);
    }
  }
  peers_.SetRole(reads, view.readers > 0);
}

// Only readers write their names, for instances that know of no other. A name
// that exists is replaced.
void cluster_state::Register(bool exists) {
  const object self{
      .name = settings_.name,
      .content = {{"peer_address", Format(settings_.peer_address)}}};
  const auto done = [this, exists](call_outcome outcome, const object&) {
    if (outcome == call_outcome::kOk) {
      ListInstances({}, false);
    } else if (outcome == call_outcome::kConflict && !exists) {
      Register(true);
    } else {
      event_line("knowledge", "register_failed").With("outcome", Name(outcome));
      loop_.After(kRegisterRetry, [this] { Register(false); });
    }
  };
  if (exists) {
    store_.Replace(platform_.kinds.instances, self, done);
  } else {
    store_.Create(platform_.kinds.instances, self, done);
  }
}

void cluster_state::ListInstances(const std::string& after, bool may_be_stale) {
  store_.List(platform_.kinds.instances,
              {.after = after, .may_be_stale = may_be_stale},
              [this, after, may_be_stale](call_outcome outcome,
                                          const object_page& page) {
                if (outcome != call_outcome::kOk) {
                  // Without an answer, seeds and other readers stand in.
                  if (may_be_stale) return;
                  loop_.After(kRegisterRetry,
                              [this, after] { ListInstances(after, false); });
                  return;
                }
                for (const object& each : page.objects) {
                  if (each.name == settings_.name) continue;
                  const endpoint where =
                      ParseEndpoint(TextField(each.content, "peer_address"));
                  if (where.port == 0) {
                    event_line("knowledge", "instance_unreadable")
                        .With("name", each.name);
                  }
                  peers_.Know(where);
                }
                CountInstances();
                peers_.TellNews();
                if (page.has_more && !page.objects.empty()) {
                  ListInstances(page.objects.back().name, may_be_stale);
                }
              });
}

void cluster_state::OnPeer(const peer_state& state) {
  if (!state.suspects.empty()) on_.on_suspects(state.suspects);
  on_.on_peers(peers_.AliveLately());
  for (const held_snapshot& each : state.held) {
    Compare(each, state.fetch_address);
  }
}

void cluster_state::Compare(const held_snapshot& theirs,
                            const std::string& fetch_address) {
  object_feed* feed = FeedOf(theirs.kind);
  if (feed == nullptr) return;
  const feed_state& ours = feed->State();
  const peer_lead told{.ours = ours.Snapshot().revision,
                       .theirs = theirs.revision,
                       .same_content = theirs.digest == feed->Digest()};
  const bool overdue = leads_[theirs.kind].OnPeer(told, Now());
  const feed_standing own{.known = ours.Known(),
                          .healthy = ours.Healthy(),
                          .listing = ours.Listing(),
                          .reads = feed->Reads()};
  switch (DecideOnLead(own, told.Ahead(), overdue)) {
    case lead_action::kNothing:
      return;
    case lead_action::kFetch:
      Fetch(theirs.kind, fetch_address);
      return;
    case lead_action::kListAgain:
      event_line("knowledge", "watch_behind_peer")
          .With("kind", theirs.kind)
          .With("revision", told.ours)
          .With("peer_revision", told.theirs);
      feed->ListAgain();
      return;
  }
}

void cluster_state::Fetch(const std::string& kind,
                          const std::string& fetch_address) {
  const instant now = Now();
  instant& last = fetched_at_[kind];
  if (last > instant() && now - last < kFetchEvery) return;
  last = now;
  if (!FeedOf(kind)->State().Known()) {
    FetchNow(kind, fetch_address);
    return;
  }
  const milliseconds delay(random_(kFetchSpreadMs));
  loop_.After(delay,
              [this, kind, fetch_address] { FetchNow(kind, fetch_address); });
}

void cluster_state::FetchNow(const std::string& kind,
                             const std::string& fetch_address) {
  const feed_state& ours = FeedOf(kind)->State();
  const std::uint64_t since = ours.Known() ? ours.Snapshot().revision : 0;
  http_.Start(
      {.url = "http://" + fetch_address + "/snapshots/" + kind +
              "?since=" + std::to_string(since),
       .timeout = kFetchTimeout},
      [this, kind](http_result& result) {
        if (!result.Answered() || result.Status() != kHttpOk) {
          fetched_at_[kind] = {};  // Another peer may hand it out at once.
          return;
        }
        const auto offered = ParseSnapshot(
            result.Body(), FeedOf(kind)->State().Snapshot(), Now());
        if (!offered) {
          event_line("knowledge", "snapshot_unreadable").With("kind", kind);
          return;
        }
        FeedOf(kind)->Offer(*offered);
      });
}

void cluster_state::Fill(peer_state& state) const {
  state.name = settings_.name;
  state.fetch_address = Format(settings_.ops_address);
  state.serving = !leaving_ && Ready();
  state.suspects = on_.suspects();
  state.store_answers = StoreAnswers();
  for (const auto& each : feeds_) {
    if (!each->State().Known()) continue;
    state.held.push_back({.kind = each->Kind(),
                          .revision = each->State().Snapshot().revision,
                          .digest = each->Digest()});
  }
}

bool cluster_state::StoreAnswers() const {
  return std::all_of(feeds_.begin(), feeds_.end(), [](const auto& each) {
    return each->State().Known() && each->State().Healthy();
  });
}

void cluster_state::Leave() {
  leaving_ = true;
  peers_.TellNow();
}

void cluster_state::CountInstances() {
  const instance_part part{.instances = peers_.Peers().InstanceCount(),
                           .part = peers_.Peers().Part(Now())};
  if (part == part_) return;
  part_ = part;
  on_.on_instances(part);
}

}  // namespace basilhoist
