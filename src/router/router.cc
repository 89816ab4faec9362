#include "basilhoist/router/router.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "basilhoist/backend/backend_pool.h"
#include "basilhoist/dispatch/request_admission.h"
#include "basilhoist/explain/explain_endpoint.h"
#include "basilhoist/ops/event_line.h"
#include "basilhoist/relay/handover_client.h"
#include "basilhoist/relay/handover_server.h"
#include "basilhoist/relay/relay_client.h"
#include "basilhoist/relay/relay_server.h"
#include "basilhoist/router/client_limits.h"
#include "basilhoist/router/client_monitor.h"
#include "basilhoist/router/cluster_state.h"
#include "basilhoist/router/listener_options.h"
#include "basilhoist/router/request_handler.h"
#include "basilhoist/router/rollout_exchange.h"
#include "basilhoist/router/router_status.h"
#include "basilhoist/router/stop_policy.h"

namespace basilhoist {
namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr milliseconds kStopPollInterval{20};
constexpr milliseconds kMembersPeriod{250};
// Requests that an instance handles for isolated peers at a time.
constexpr double kHandoversPerCore = 128;
constexpr std::size_t kMinHandovers = 4;
// Rate limits in one datagram to peers, which must fit one packet.
constexpr std::size_t kMaxRateLimitReports = 16;
// As above, for slow and silent servers: about 800 bytes.
constexpr std::size_t kMaxHealthReports = 64;
// As above, for reports of overload: about 120 bytes each.
constexpr std::size_t kMaxAdmissionReports = 10;

std::uint32_t ToPermille(double cpu_cores) {
  return std::max(1U, static_cast<std::uint32_t>(cpu_cores * kPermille));
}

std::size_t MaxHandovers(double cpu_cores) {
  return std::max(kMinHandovers,
                  static_cast<std::size_t>(kHandoversPerCore * cpu_cores));
}

std::optional<std::uint64_t> EraArgument(const http_exchange& exchange) {
  const std::string text = exchange.Argument("era");
  if (text.empty()) return std::nullopt;
  return std::strtoull(text.c_str(), nullptr, 10);
}

void LogSuspects(const std::vector<server_health_report>& reports) {
  constexpr double kTenths = 10;
  for (const server_health_report& report : reports) {
    event_line("call", "server_reported_slow")
        .With("run", report.run)
        .With("slowness", report.slowness_tenths / kTenths)
        .With("age_ms", report.age_ms);
  }
}

}  // namespace

struct router::state {
  event_loop& loop;
  router_settings settings;
  platform_binding platform;
  client_limits limits;
  memory_budget_ptr memory;
  http_client http;
  server_directory directory;
  backend_pool pool;
  dispatcher dispatch;
  request_handler requests;
  relay_server inbound_relays;
  relay_links links;
  relay_client outbound_relays;
  handover_client handovers;
  handover_server handover_in;
  usage_exchange usage;
  usage_membership membership;
  std::optional<rollout_controller> rollouts;
  cluster_state cluster;
  std::optional<rollout_exchange> rollout_messages;
  http_server caller_server;
  http_server readiness_server;
  http_server ops_server;
  client_monitor clients;
  router_status status;
  std::optional<stop_policy> stopping;

  state(event_loop& the_loop, router_settings the_settings,
        platform_binding the_platform)
      : loop(the_loop),
        settings(std::move(the_settings)),
        platform(std::move(the_platform)),
        limits(ClientLimits(settings.memory_bytes, DescriptorLimit())),
        memory(std::make_shared<memory_budget>(limits.memory)),
        http(the_loop),
        pool(the_loop, memory),
        dispatch(the_loop, pool, directory,
                 {.names = platform.headers,
                  .retry = settings.retry,
                  .failure_domain = settings.failure_domain,
                  .cpu_cores = settings.cpu_cores,
                  .seed = std::hash<std::string>()(settings.name)}),
        requests(dispatch),
        inbound_relays(dispatch, memory),
        links(the_loop, settings.peer_address,
              {.on_request =
                   [this](const std::shared_ptr<frame_link>& link,
                          frame_kind kind, std::string_view bytes) {
                     inbound_relays.OnFrame(link, kind, bytes);
                     handover_in.OnFrame(link, kind, bytes);
                   },
               .on_sender_disconnected =
                   [this](const frame_link* link) {
                     inbound_relays.OnDisconnect(link);
                     handover_in.OnDisconnect(link);
                   },
               .on_reply =
                   [this](const endpoint& relay, frame_kind kind,
                          std::string_view bytes) {
                     outbound_relays.OnReply(relay, kind, bytes);
                     handovers.OnReply(relay, kind, bytes);
                   },
               .on_relay_disconnected =
                   [this](const endpoint& relay) {
                     outbound_relays.OnDisconnect(relay);
                   }},
              {.max_incoming = limits.peer_links, .memory = memory}),
        outbound_relays(the_loop, links,
                        {.failure_domain = settings.failure_domain,
                         .cpu_cores = settings.cpu_cores}),
        handovers(the_loop, links, outbound_relays),
        handover_in(
            the_loop,
            {.max_requests = MaxHandovers(settings.cpu_cores),
             .memory = memory},
            [this](const auto& exchange) { requests.HandleHandover(exchange); },
            [this] { return !dispatch.isolation.Isolated(); }),
        usage(the_loop, settings.peer_address,
              [this](const endpoint& to, const std::string& bytes) {
                cluster.SendTo(to, bytes);
              }),
        membership({.address = settings.peer_address,
                    .processor_permille = ToPermille(settings.cpu_cores)}),
        cluster(
            the_loop, http, settings, platform, directory,
            {.on_table =
                 [this](const routing_table_ptr& table) { OnTable(table); },
             .suspects_to_report =
                 [this] { return dispatch.crashes.NextReports(Now()); },
             .on_suspects =
                 [this](const std::vector<suspect_report>& reports) {
                   dispatch.OnSuspectReports(reports);
                 },
             .rate_limits_to_report =
                 [this] {
                   return dispatch.rate_limits.NextReports(kMaxRateLimitReports,
                                                           Now());
                 },
             .on_rate_limits =
                 [this](const std::vector<rate_limit_report>& reports) {
                   for (const rate_limit_report& report : reports) {
                     dispatch.rate_limits.OnReport(report, Now());
                   }
                 },
             .server_health_to_report =
                 [this] {
                   return dispatch.peer_reports.NextReports(
                       directory, dispatch.stats, kMaxHealthReports, Now());
                 },
             .on_server_health =
                 [this](const std::vector<server_health_report>& reports) {
                   LogSuspects(dispatch.peer_reports.OnReports(reports, Now()));
                 },
             .admission_to_report =
                 [this] {
                   return dispatch.admission.reports.NextReports(
                       kMaxAdmissionReports, Now());
                 },
             .on_admission =
                 [this](const std::vector<admission_report>& reports) {
                   if (ReceiveAdmissionReports(dispatch, reports, Now())) {
                     cluster.SendUpdate();
                   }
                 },
             .on_rollouts =
                 [this](const object_snapshot& orders) {
                   rollout_messages->OnOrders(orders);
                 },
             .on_datagram =
                 [this](std::string_view bytes) {
                   return usage.OnDatagram(bytes) ||
                          (rollout_messages &&
                           rollout_messages->OnDatagram(bytes));
                 },
             .on_peers =
                 [this](const std::vector<known_peer>& alive) {
                   OnPeers(alive);
                 },
             .on_instances =
                 [this](const instance_share& share) { OnInstances(share); }}),
        caller_server(
            the_loop,
            CallerListenerOptions(settings.caller_address,
                                  limits.caller_connections, memory,
                                  platform.headers),
            [this](const auto& exchange) { requests.Handle(exchange); }),
        readiness_server(
            the_loop,
            InternalListenerOptions(settings.readiness_address,
                                    limits.readiness_connections, memory),
            [this](const auto& exchange) { AnswerReadiness(*exchange); }),
        ops_server(
            the_loop,
            InternalListenerOptions(settings.ops_address,
                                    limits.ops_connections, memory),
            [this](const auto& exchange) { AnswerOpsRequest(*exchange); }),
        clients(the_loop, memory,
                {{.name = "callers", .server = &caller_server},
                 {.name = "readiness", .server = &readiness_server},
                 {.name = "ops", .server = &ops_server}},
                links),
        status({.settings = settings,
                .directory = directory,
                .pool = pool,
                .dispatch = dispatch,
                .requests = requests,
                .usage = usage,
                .rollouts = rollouts,
                .cluster = cluster,
                .caller_server = caller_server,
                .clients = clients}) {
    dispatch.instance_rank = [this](std::uint64_t key) {
      return cluster.Peers().RankFor(key, Now());
    };
    dispatch.instance_rank_in = [this](std::uint64_t key,
                                       const std::string& domain) {
      return cluster.Peers().RankFor(key, Now(), domain,
                                     domain == settings.failure_domain);
    };
    requests.LimitUsage(usage);
    ops_server.SetMaxBodyBytes(kMaxExplainBytes);
    loop.Every(kMembersPeriod, [this] { UpdateUsageMembers(); });
    dispatch.relays = &outbound_relays;
    dispatch.handovers = &handovers;
    outbound_relays.OnRelayLost(
        [this](const endpoint& peer) { handovers.OnPeerLost(peer); });
    dispatch.isolation.OnChange(
        [this](bool isolated) { cluster.SetIsolated(isolated); });
    outbound_relays.OnRateLimit([this](const rate_limit_report& limit) {
      dispatch.OnRelayedLimit(limit, Now());
    });
    requests.OnLatency([this](microseconds took) { status.OnLatency(took); });
    if (settings.rollouts) StartRollouts(*settings.rollouts);
    StartAdmission(dispatch, [this] { cluster.SendUpdate(); });
    dispatch.on_crash_update = [this] { cluster.SendUpdate(); };
    dispatch.on_request_contained = [this](std::uint64_t fingerprint) {
      if (const auto report = dispatch.crashes.ReportOf(fingerprint, Now())) {
        cluster.StoreSuspect(*report);
      }
    };
    directory.OnRemoved([this](const listed_server& server) {
      pool.RemoveServer(server);
      dispatch.OnServerRemoved(server);
      if (rollouts) rollouts->OnServerRemoved(server);
    });
    directory.OnAdded([this](const std::vector<listed_server_ptr>& added) {
      dispatch.pace.OnAdded(added, Now());
      if (rollouts) rollouts->OnServersAdded(added, Now());
    });
  }

  void StartRollouts(const rollout_bounds& bounds) {
    rollouts.emplace(directory,
                     rollout_options{.max_share = bounds.max_share,
                                     .slack = bounds.slack,
                                     .rollback_delay = bounds.rollback_delay,
                                     .self = settings.peer_address,
                                     .incarnation = static_cast<std::uint64_t>(
                                         Now().SinceBoot().count()),
                                     .seed = dispatch.options.seed});
    dispatch.rollouts = &*rollouts;
    rollout_messages.emplace(
        loop, *rollouts, cluster.Store(), platform,
        [this](const endpoint& to, const std::string& bytes) {
          cluster.SendTo(to, bytes);
        });
    rollout_messages->Start();
  }

  void OnTable(const routing_table_ptr& table) {
    dispatch.table = table;
    const caller_limits& asked = table->Limits();
    caller_server.SetTimeouts(
        {.header = asked.header_timeout, .idle = asked.idle_timeout});
    caller_server.SetMaxBodyBytes(asked.max_body_bytes);
    caller_server.SetMaxHeadBytes(RawHeadLimit(asked.max_header_bytes));
  }

  void OnPeers(const std::vector<known_peer>& alive) {
    std::vector<relay_peer> peers;
    for (const known_peer& peer : alive) {
      peers.push_back({.address = peer.address,
                       .failure_domain = peer.failure_domain,
                       .cpu_cores = peer.processor_permille / kPermille,
                       .serving = peer.serving});
    }
    outbound_relays.SetPeers(std::move(peers));
  }

  void UpdateUsageMembers() {
    const usage_members members = membership.Update(
        cluster.Peers(), cluster.Exchange().AlivePeers(), Now());
    usage.SetMembers(members);
    if (rollouts) rollouts->SetMembers(members);
  }

  // Requests and batches without an answer, and answers that callers and peers
  // still read.
  [[nodiscard]] std::size_t InFlight() const {
    return requests.InFlight() + inbound_relays.InFlight() +
           caller_server.UnsentReplies() + links.LinksWithUnsentResults();
  }

  void OnInstances(const instance_share& update) {
    event_line("router", "instances_counted")
        .With("count", update.instance_count)
        .With("before", dispatch.instance_count)
        .With("part", update.share)
        .With("relay_part", update.relay_share);
    dispatch.instance_count = update.instance_count;
    dispatch.instance_share = update.share;
    dispatch.relay_share = update.relay_share;
    UpdateUsageMembers();
  }

  // An isolated instance serves its callers through peers.
  [[nodiscard]] bool IsReady() const {
    return !stopping && cluster.Ready() &&
           (!dispatch.isolation.Isolated() || handovers.HasPeer());
  }

  void AnswerReadiness(http_exchange& exchange) const {
    if (exchange.Path() != platform.readiness_path) {
      exchange.Reply({.status = kNotFound});
    } else if (!IsReady()) {
      exchange.Reply({.status = kUnavailable, .body = "not ready\n"});
    } else {
      exchange.Reply({.body = "ready\n"});
    }
  }

  void AnswerOpsRequest(http_exchange& exchange) {
    const std::string& path = exchange.Path();
    const std::string snapshot_prefix = "/snapshots/";
    if (path == "/dump") {
      exchange.Reply({.body = status.Dump(IsReady())});
    } else if (path == "/metrics") {
      exchange.Reply({.content_type = "text/plain", .body = status.Metrics()});
    } else if (path == kExplainPath) {
      exchange.Reply(AnswerExplain(exchange, request_explainer(requests, usage),
                                   FeedAges(cluster.Feeds(), Now())));
    } else if (path.starts_with(snapshot_prefix)) {
      std::string text = cluster.SnapshotText(
          path.substr(snapshot_prefix.size()),
          std::strtoull(exchange.Argument("since").c_str(), nullptr, 10),
          EraArgument(exchange));
      if (text.empty()) {
        exchange.Reply({.status = kNotFound});
      } else {
        exchange.Reply({.body = std::move(text)});
      }
    } else {
      exchange.Reply({.status = kNotFound});
    }
  }

  void AdvanceStop() {
    const stop_step step = stopping->Next(InFlight(), Now());
    if (step != stop_step::kServe) caller_server.Quiesce();
    if (step == stop_step::kExpire) requests.ExpireAll();
    if (step == stop_step::kExit) {
      event_line("router", "stopped").With("in_flight", InFlight());
      // Immediately, so that no request is read in the rest of this iteration
      // of the event loop.
      caller_server.Stop();
      loop.Stop();
      return;
    }
    loop.After(kStopPollInterval, [this] { AdvanceStop(); });
  }
};

router::router(event_loop& loop, router_settings settings,
               platform_binding platform)
    : state_(std::make_unique<state>(loop, std::move(settings),
                                     std::move(platform))) {}

router::~router() = default;

bool router::Start() {
  const bool bound = state_->caller_server.Listening() &&
                     state_->readiness_server.Listening() &&
                     state_->ops_server.Listening() &&
                     state_->links.Listening() && state_->cluster.Bound();
  event_line("router", bound ? "started" : "address_not_bound")
      .With("callers", Format(state_->settings.caller_address))
      .With("ops", Format(state_->settings.ops_address));
  if (bound) state_->cluster.Start();
  return bound;
}

void router::Reload(const router_settings& settings) {
  if (settings == state_->settings) return;
  event_line("router", "settings_taken").With("name", settings.name);
  state_->settings.retry = settings.retry;
  state_->settings.grace_period = settings.grace_period;
  state_->dispatch.options.retry = settings.retry;
}

void router::Stop() {
  if (state_->stopping) return;
  state_->stopping.emplace(Now(), state_->settings.grace_period);
  state_->requests.ExpireAt(state_->stopping->ExpiresAt());
  state_->caller_server.CloseAfterReplies();
  state_->cluster.AnnounceShutdown();
  event_line("router", "stop_asked")
      .With("in_flight", state_->requests.InFlight());
  state_->AdvanceStop();
}

}  // namespace basilhoist
