#include "basilhoist/dispatch/dispatcher.h"

#include <algorithm>
#include <charconv>

#include "basilhoist/ops/event_line.h"
#include "basilhoist/relay/relay_client.h"

namespace basilhoist {
namespace {

// Share of the fixed part of the retry budget that is available directly after
// a start, for the first failures.
constexpr double kInitialFixedShare = 0.3;
// Connections of a server that are reserved for its health checks and for
// instances that this one does not know yet.
constexpr unsigned kReservedConnections = 2;
// Approximate time until a server in its cold start may get another request
// from this instance.
constexpr milliseconds kColdStartWait{20};
// Requests that all instances together may be ahead of the rate of a server in
// its cold start.
constexpr double kColdStartBurst = 4;
// Requests that all instances together may be ahead of an advertised rate: this
// many, and what the rate allows in kAdvertisedBurstTime. The time lets more
// instances send to a server with a higher rate.
constexpr double kAdvertisedBurst = 2;
constexpr milliseconds kAdvertisedBurstTime{1000};
// Bounds of the time after which an instance that is not a sender to a limited
// server expects the server to accept another request.
constexpr milliseconds kMinLimitedWait{50};
constexpr milliseconds kMaxLimitedWait{2000};
// Approximate time until a connection is free again.
constexpr milliseconds kConnectionWait{3};

}  // namespace

// A restarted process does not know what it sent before the restart, so the
// fixed part of the budget grows to its full size over the first window.
retry_budget_options dispatcher::RetryLimits(instant now) const {
  retry_budget_options limits = options.retry;
  const double age = static_cast<double>((now - started).count()) /
                     static_cast<double>(microseconds(limits.window).count());
  limits.fixed *= std::clamp(age, kInitialFixedShare, 1.0);
  return limits;
}

service_settings dispatcher::SettingsOf(const std::string& service) const {
  const service_settings* found = table ? table->Service(service) : nullptr;
  return found == nullptr ? service_settings{.name = service} : *found;
}

std::set<std::string> dispatcher::UsableDomains(const std::string& service,
                                                instant now) const {
  std::set<std::string> domains;
  const unsigned connections = MaxConnections(service);
  for (const listed_server_ptr& server : directory.ServersOf(service)) {
    if (server->missing) continue;
    const send_block block = Evaluate(*server, connections, now).block;
    const bool busy =
        block == send_block::kColdStart || block == send_block::kRateLimited ||
        block == send_block::kNoFreeConnection || block == send_block::kPaced;
    if (block != send_block::kNone && !busy) continue;
    domains.insert(server->info.failure_domain);
  }
  return domains;
}

send_decision dispatcher::Evaluate(const listed_server& server,
                                   unsigned connections, instant now) const {
  const bool cold_limited =
      !cold_starts.Allows(server.key, ColdStartRate(server, now), now);
  const server_health health = stats.HealthOf(server.key, now);
  return EvaluateServer(
      {.removed = server.removed,
       .draining = server.info.draining,
       .evacuated = directory.IsEvacuated(server),
       .shutting_down = notices.IsShuttingDown(server.incarnation, now),
       .version_held = IsVersionHeld(server, now),
       .paused_until = notices.PausedUntil(server.incarnation, now),
       .avoid_until = health.avoid_until,
       .rate_limited_until = RateLimitedUntil(server, now),
       .cold_limited_until = cold_limited ? now + kColdStartWait : instant(),
       .connection_free_at = sender.CanSend(server, connections)
                                 ? instant()
                                 : now + kConnectionWait,
       .paced_until = pace.BlockedUntil(server, health, now)},
      now);
}

replica_candidate dispatcher::CandidateFor(const listed_server& server,
                                           instant now) const {
  const server_health health = stats.HealthOf(server.key, now);
  return {.health = health,
          .reported_slowness = peer_reports.SlownessOf(server.incarnation,
                                                       health.last_reply, now),
          .slots = server.info.slots,
          .cold = now < server.cold_until,
          .missing = server.missing,
          .local = server.info.failure_domain == options.failure_domain};
}

microseconds dispatcher::PlanRetryAfter(const std::string& service,
                                        const std::string& route,
                                        const retry_rank& rank,
                                        microseconds objective,
                                        instant earliest) {
  const microseconds typical = route_latencies[route].TypicalLatency(objective);
  const instant now = Now();
  // All instances plan retries at the same time, so each one plans for its
  // share of the service's capacity.
  const double spacing_us = 1e6 * static_cast<double>(instance_count) /
                            CapacityOf(service, typical, now);
  return retry_times.Plan(
      service, rank,
      {.earliest = earliest,
       .spacing = microseconds(static_cast<std::int64_t>(spacing_us))},
      now);
}

double dispatcher::CapacityOf(const std::string& service,
                              microseconds typical_latency, instant now) const {
  const double slot_per_s = 1e6 / static_cast<double>(std::max<std::int64_t>(
                                      1, typical_latency.count()));
  double per_s = 0;
  for (const listed_server_ptr& server : directory.ServersOf(service)) {
    const double unlimited = slot_per_s * server->info.slots;
    const auto limit = rate_limits.RateOf(server->incarnation, now);
    per_s += limit ? std::min(*limit, unlimited) : unlimited;
  }
  return per_s > 0 ? per_s : slot_per_s;
}

coverage_outlook dispatcher::OutlookFor(const std::vector<std::string>& shards,
                                        instant now) const {
  coverage_outlook outlook{.shards = shards.size()};
  if (rate_limits.Size() == 0) {
    outlook.unlimited = shards.size();
    return outlook;
  }
  for (const std::string& shard : shards) {
    const unsigned connections = MaxConnections(shard);
    bool limited = false;
    bool unlimited = false;
    bool sendable = false;
    double rate_per_s = 0;
    for (const listed_server_ptr& server : directory.ServersOf(shard)) {
      const send_decision decision = Evaluate(*server, connections, now);
      if (!decision.Allowed() && !decision.IsTemporary(now)) continue;
      const auto rate = rate_limits.RateOf(server->incarnation, now);
      unlimited = unlimited || !rate;
      limited = limited || rate;
      rate_per_s += rate.value_or(0);
      sendable = sendable || decision.AllowedAsLastResort();
      if (!decision.Allowed() && (outlook.earliest == instant() ||
                                  decision.until < outlook.earliest)) {
        outlook.earliest = decision.until;
      }
    }
    // A shard without usable servers is not the matter of rate limits.
    if (unlimited || !limited) {
      ++outlook.unlimited;
      continue;
    }
    if (sendable) ++outlook.sendable;
    if (outlook.lowest_rate_service.empty() ||
        rate_per_s < outlook.lowest_rate_per_s) {
      outlook.lowest_rate_per_s = rate_per_s;
      outlook.lowest_rate_service = shard;
    }
  }
  return outlook;
}

bool dispatcher::AdmitFanOut(const coverage_outlook& outlook,
                             double min_coverage, instant now) {
  const bool has_relays = relays != nullptr && !relays->UsableDomains().empty();
  switch (DecideAdmission(outlook, min_coverage, has_relays)) {
    case fan_out_admission::kSend:
      return true;
    case fan_out_admission::kRefuse:
      return false;
    case fan_out_admission::kTry:
      break;
  }
  // Every instance gets an equal share.
  const shared_rate tries{.per_s = outlook.lowest_rate_per_s,
                          .burst = static_cast<double>(instance_count),
                          .instances = instance_count};
  const auto shard = crash_guard::ServiceHash(outlook.lowest_rate_service);
  if (!limited_tries.Allows(shard, tries, now)) return false;
  limited_tries.OnSent(shard, tries, now);
  return true;
}

void dispatcher::OnServerRemoved(const listed_server& server) {
  if (!server.info.draining &&
      !notices.IsShuttingDown(server.incarnation, Now())) {
    OnServerTerminated(server, "entry");
  }
  stats.Forget(server.key);
  pace.OnRemoved(server);
  cold_starts.Forget(server.key);
  limited_sends.Forget(server.incarnation);
  cold_ranks.Forget(server.incarnation);
  limited_ranks.Forget(server.incarnation);
}

shared_rate dispatcher::ColdStartRate(const listed_server& server,
                                      instant now) const {
  if (now >= server.cold_until) return {};
  const double rate = SettingsOf(server.info.service).warmup_rate_per_s;
  if (rate <= 0) return {};
  return {.per_s = rate,
          .burst = kColdStartBurst,
          .instances = instance_count,
          .rank = cold_ranks.Rank(server.incarnation, now, instance_rank)};
}

// Instances in the server's failure domain rank first: they prefer the server
// to others, and batches of shards reach it through them.
shared_rate dispatcher::AdvertisedRate(const listed_server& server,
                                       instant now) const {
  const auto per_s = rate_limits.RateOf(server.incarnation, now);
  if (!per_s) return {};
  const double burst_s =
      std::chrono::duration<double>(kAdvertisedBurstTime).count();
  return {.per_s = *per_s,
          .burst = kAdvertisedBurst + *per_s * burst_s,
          .instances = instance_count,
          .rank = limited_ranks.Rank(
              server.incarnation, now, [&](std::uint64_t key) {
                return instance_rank_in(key, server.info.failure_domain);
              })};
}

instant dispatcher::RateLimitedUntil(const listed_server& server,
                                     instant now) const {
  const shared_rate rate = AdvertisedRate(server, now);
  if (rate.per_s <= 0) return {};
  const auto next = limited_sends.NextSend(server.incarnation, rate, now);
  if (next) return *next;
  // Callers that are told to come back reach other instances too, so this is
  // the time in which the server accepts one more request from all.
  const microseconds wait(static_cast<std::int64_t>(1e6 / rate.per_s));
  return now + std::clamp<microseconds>(wait, kMinLimitedWait, kMaxLimitedWait);
}

void dispatcher::OnSent(const listed_server& server, bool extra, instant now) {
  ++counts.sends;
  notices.OnSent(server.incarnation, now);
  pace.OnSent(server, now);
  if (rollouts != nullptr) rollouts->OnSent(server);
  cold_starts.OnSent(server.key, ColdStartRate(server, now), now);
  const shared_rate advertised = AdvertisedRate(server, now);
  if (advertised.per_s <= 0) return;
  limited_sends.OnSent(server.incarnation, advertised, now);
  ++(extra ? counts.limited_extra_sends : counts.limited_first_sends);
}

void dispatcher::OnSendEnd(const listed_server_ptr& server,
                           const lost_send& send, const backend_reply& reply,
                           instant now) {
  const std::string* warmup = reply.Header(options.names.warmup_remaining_ms);
  if (warmup != nullptr) {
    std::int64_t remaining_ms = 0;
    std::from_chars(warmup->data(), warmup->data() + warmup->size(),
                    remaining_ms);
    if (remaining_ms > 0 && server->cold_until <= now) {
      pace.OnWarmupStated(*server, now);
    }
    server->cold_until = now + milliseconds(remaining_ms);
  }
  if (reply.error == exchange_error::kNone) {
    isolation.OnReply();
    return;
  }
  // A server whose connection breaks may be restarting and is then in its cold
  // start when it accepts connections again. Its entry shows this only later. A
  // server that sends a garbled reply runs.
  const service_settings settings = SettingsOf(server->info.service);
  if (settings.warmup_rate_per_s > 0 &&
      reply.error != exchange_error::kGarbled) {
    server->cold_until = std::max(server->cold_until, now + settings.warmup);
  }
  if (reply.error == exchange_error::kBroken && reply.sent) {
    ++counts.broken_in_flight;
    crashes.OnLost(send, now);
    confirmer.OnLost(server);
  } else if (reply.error == exchange_error::kRefused) {
    isolation.OnRefused(server);
  }
  if (reply.error == exchange_error::kRefused ||
      reply.error == exchange_error::kNotConnected) {
    isolation.OnConnectFailed(*server);
  }
}

// While this instance reaches no server, its failures say nothing about them.
void dispatcher::RecordResult(const listed_server& server,
                              std::uint64_t stats_key, const ended_send& send,
                              instant now) {
  stats.OnEnd(server.key, stats_key, send.result, now);
  if (!isolation.Isolated()) pace.OnSendEnd(server, send, now);
}

void dispatcher::OnServerTerminated(const listed_server& server,
                                    std::string_view proof) {
  if (rollouts != nullptr) rollouts->OnServerCrashed(server);
  const crash_update update = crashes.OnTerminated(server.incarnation, Now());
  if (update.reportable.empty()) return;
  ++counts.crashes_confirmed;
  event_line("call", "server_crashed")
      .With("server", server.info.id)
      .With("proof", proof)
      .With("blamed", update.reportable.size())
      .With("fingerprint", update.reportable.front());
  PublishCrashUpdate(update, server.info.id);
}

void dispatcher::OnSuspectReports(const std::vector<suspect_report>& reports) {
  const crash_update update = crashes.Merge(reports, Now());
  PublishCrashUpdate(update, "peer");
}

void dispatcher::PublishCrashUpdate(const crash_update& update,
                                    std::string_view source) {
  for (const std::uint64_t fingerprint : update.newly_refused) {
    event_line("call", "request_contained")
        .With("fingerprint", fingerprint)
        .With("source", source);
  }
  for (const std::uint64_t fingerprint : update.detected_here) {
    on_request_contained(fingerprint);
  }
  if (!update.reportable.empty()) on_crash_update();
}

unsigned dispatcher::MaxConnections(const std::string& service) const {
  const unsigned limit = SettingsOf(service).max_connections;
  const unsigned shared =
      limit > kReservedConnections ? limit - kReservedConnections : 1;
  return std::max(1U, static_cast<unsigned>(shared * instance_share));
}

}  // namespace basilhoist
