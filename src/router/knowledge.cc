#include "basilhoist/router/knowledge.h"

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
constexpr milliseconds kExpirePeriod{250};
// The longest gathering and a slow answer.
constexpr milliseconds kAnswersWithin = 2 * feed_state::kLongestGather;
constexpr int kHttpOk = 200;

std::uint32_t Permille(double processor_share) {
  return std::max(1U, static_cast<std::uint32_t>(processor_share * kPermille));
}

}  // namespace

knowledge::knowledge(event_loop& loop, http_client& http,
                     const router_settings& settings, platform_binding platform,
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
              .processor_permille = Permille(settings.processor_share),
              .seed = std::hash<std::string>()(settings.name)},
             {.fill = [this](peer_state& state) { Fill(state); },
              .on_state = [this](const peer_state& s) { OnPeer(s); }}),
      incarnation_(static_cast<std::uint64_t>(Now().SinceBoot().count())) {
  AddFeed(platform_.kinds.routing,
          [this](const object_feed& feed) { OnRouting(feed); });
  AddFeed(platform_.kinds.servers,
          [this](const object_feed& feed) { OnServers(feed); });
  AddFeed(platform_.kinds.evacuations,
          [this](const object_feed& feed) { OnEvacuations(feed); });
}

object_feed& knowledge::AddFeed(
    const std::string& kind,
    std::function<void(const object_feed&)> on_change) {
  return *feeds_.emplace_back(
      std::make_unique<object_feed>(loop_, store_, kind, std::move(on_change)));
}

object_feed* knowledge::FeedOf(const std::string& kind) const {
  for (const auto& each : feeds_) {
    if (each->Kind() == kind) return each.get();
  }
  return nullptr;
}

void knowledge::Start() {
  for (const endpoint& each : settings_.seeds) peers_.Know(each);
  archive_.Read();
  for (const auto& each : feeds_) each->Start();
  Register(false);
  peers_.Start();
  CountInstances();
  loop_.Every(kExpirePeriod, [this] {
    if (directory_.Expire(Now())) {
      event_line("knowledge", "missing_servers_dropped")
          .With("count", directory_.Size());
    }
    CountInstances();
  });
}

bool knowledge::Ready() const {
  return table_version_ > 0 && FeedOf(platform_.kinds.servers)->State().Known();
}

std::string knowledge::SnapshotText(const std::string& kind,
                                    std::uint64_t since) const {
  const object_feed* feed = FeedOf(kind);
  if (feed == nullptr || !feed->State().Known()) return {};
  return FormatSnapshot(feed->State().Snapshot(), since);
}

void knowledge::OnRouting(const object_feed& feed) {
  const auto table = platform_.contents->Routing(feed.State().Snapshot());
  if (!table || table->Version() <= table_version_) return;
  event_line("knowledge", "table_in_force")
      .With("version", table->Version())
      .With("before", table_version_)
      .With("routes", table->Routes().size())
      .With("revision", feed.State().Snapshot().revision);
  table_version_ = table->Version();
  on_.on_table(table);
}

void knowledge::OnServers(const object_feed& feed) {
  const object_snapshot& removed = feed.State().Removed();
  if (!removed.objects.empty()) {
    directory_.TakeLast(platform_.contents->Servers(removed));
  }
  const instant now = Now();
  // If the store has answered all the while, the grace counts from the answer
  // before; time spent on gathering changes does not add to it.
  const instant before = feed.State().CurrentBefore();
  const bool answered = now - before <= kAnswersWithin;
  directory_.Apply(platform_.contents->Servers(feed.State().Snapshot()), now,
                   answered ? before : now);
  event_line("knowledge", "servers_taken")
      .With("count", directory_.Size())
      .With("missing", directory_.MissingCount())
      .With("revision", feed.State().Snapshot().revision);
}

void knowledge::OnEvacuations(const object_feed& feed) {
  auto domains = platform_.contents->EvacuatedDomains(feed.State().Snapshot());
  event_line("knowledge", "evacuations_taken")
      .With("domains", domains)
      .With("revision", feed.State().Snapshot().revision);
  directory_.SetEvacuated(std::move(domains));
}

// Written once a start; a name that exists is replaced.
void knowledge::Register(bool exists) {
  const object self{
      .name = settings_.name,
      .content = {{"peer_address", Format(settings_.peer_address)}}};
  const auto done = [this, exists](call_outcome outcome, const object&) {
    if (outcome == call_outcome::kOk) {
      ListInstances({});
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

void knowledge::ListInstances(const std::string& after) {
  store_.List(
      platform_.kinds.instances, {.after = after},
      [this, after](call_outcome outcome, const object_page& page) {
        if (outcome != call_outcome::kOk) {
          loop_.After(kRegisterRetry, [this, after] { ListInstances(after); });
          return;
        }
        for (const object& each : page.objects) {
          if (each.name == settings_.name) continue;
          if (!each.content.is_object()) continue;
          peers_.Know(
              ParseEndpoint(each.content.value("peer_address", std::string())));
        }
        CountInstances();
        peers_.TellAll();
        if (page.has_more && !page.objects.empty()) {
          ListInstances(page.objects.back().name);
        }
      });
}

void knowledge::OnPeer(const peer_state& state) {
  if (!state.suspects.empty()) on_.on_suspects(state.suspects);
  on_.on_peers(peers_.HeardLately());
  for (const held_snapshot& each : state.held) {
    Compare(each, state.fetch_address);
  }
}

void knowledge::Compare(const held_snapshot& theirs,
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
                          .listing = ours.Listing()};
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

void knowledge::Fetch(const std::string& kind,
                      const std::string& fetch_address) {
  const instant now = Now();
  instant& last = fetched_at_[kind];
  if (last > instant() && now - last < kFetchEvery) return;
  last = now;
  const feed_state& ours = FeedOf(kind)->State();
  const std::uint64_t since = ours.Known() ? ours.Snapshot().revision : 0;
  http_.Start(
      {.url = "http://" + fetch_address + "/snapshots/" + kind +
              "?since=" + std::to_string(since),
       .timeout = kFetchTimeout},
      [this, kind](http_result& result) {
        if (!result.Answered() || result.Status() != kHttpOk) return;
        const auto snapshot =
            ParseSnapshot(result.Body(), FeedOf(kind)->State().Snapshot());
        if (!snapshot) {
          event_line("knowledge", "snapshot_unreadable").With("kind", kind);
          return;
        }
        FeedOf(kind)->Offer(*snapshot);
      });
}

void knowledge::Fill(peer_state& state) const {
  state.name = settings_.name;
  state.incarnation = incarnation_;
  state.fetch_address = Format(settings_.ops_address);
  state.relay_address = Format(settings_.peer_address);
  state.failure_domain = settings_.failure_domain;
  state.processor_permille = Permille(settings_.processor_share);
  state.serving = !leaving_ && Ready();
  state.suspects = on_.suspects();
  for (const auto& each : feeds_) {
    if (!each->State().Known()) continue;
    state.held.push_back({.kind = each->Kind(),
                          .revision = each->State().Snapshot().revision,
                          .digest = each->Digest()});
  }
}

void knowledge::Leave() {
  leaving_ = true;
  peers_.TellAll();
}

void knowledge::CountInstances() {
  const instance_part part{.instances = peers_.Peers().InstanceCount(),
                           .part = peers_.Peers().Part()};
  if (part == part_) return;
  part_ = part;
  on_.on_instances(part);
}

}  // namespace basilhoist
