#include "basilhoist/dispatch/dispatcher.h"

#include <algorithm>
#include <charconv>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Until replies have come: a part of the objective.
constexpr int kUsualShareOfObjective = 6;
// Beyond the usual time; spread of the work and of the network.
constexpr double kDelayFactor = 1.7;
constexpr milliseconds kLeastDelay{6};
// TypicalLatency times that a second send takes in all but few cases.
constexpr double kNeededFactor = 2;
// Of the fixed part of the budget, for the first failures after a start.
constexpr double kFirstFixedShare = 0.3;
// Connections of a server left for its health checks and for instances that
// this one does not know of yet.
constexpr unsigned kReservedConnections = 2;
// A cold server that has had its part; its next turn comes within about this.
constexpr milliseconds kColdWait{20};
// A connection is free again within about this.
constexpr milliseconds kRoomWait{3};
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
// Characters of a header from a server in one log line.
constexpr std::size_t kLoggedHeader = 32;

}  // namespace

microseconds route_latency::TypicalLatency(microseconds objective) const {
  return window_.Quantile(objective / kUsualShareOfObjective);
}

// Early while the budget is full, so that the answer is early; as it empties,
// as late as a second send can still be in time, since most first sends are
// answered by then.
microseconds route_latency::HedgeDelay(microseconds objective,
                                       microseconds left,
                                       double pressure) const {
  const auto usual = static_cast<double>(TypicalLatency(objective).count());
  const double early = usual * kDelayFactor;
  const double late = std::max(
      early, static_cast<double>(left.count()) - usual * kNeededFactor);
  const double delay = early + (late - early) * pressure * pressure;
  return std::max<microseconds>(kLeastDelay,
                                microseconds(static_cast<std::int64_t>(delay)));
}

// A process that was restarted does not know what it had sent before, so the
// fixed part grows to its whole size over the first window.
retry_budget_options dispatcher::RetryLimits(instant now) const {
  retry_budget_options limits = options.retry;
  const double age = static_cast<double>((now - started).count()) /
                     static_cast<double>(microseconds(limits.window).count());
  limits.fixed *= std::clamp(age, kFirstFixedShare, 1.0);
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
  for (const listed_server_ptr& each : directory.Of(service)) {
    if (each->missing) continue;
    const send_block bar = Evaluate(*each, connections, now).block;
    const bool busy =
        bar == send_block::kColdStart || bar == send_block::kNoFreeConnection;
    if (bar != send_block::kNone && !busy) continue;
    domains.insert(each->info.failure_domain);
  }
  return domains;
}

send_decision dispatcher::Evaluate(const listed_server& server,
                                   unsigned connections, instant now) const {
  return EvaluateServer(
      {.removed = server.gone,
       .draining = server.info.draining,
       .evacuated = directory.IsEvacuated(server),
       .shutting_down = notices.IsShuttingDown(server.run, now),
       .paused_until = notices.PausedUntil(server.run, now),
       .avoid_until = stats.HealthOf(server.key, now).avoid_until,
       .cold_limited_until =
           ExceedsColdLimit(server, now) ? now + kColdWait : instant(),
       .connection_free_at =
           sender.HasRoom(server, connections) ? instant() : now + kRoomWait},
      now);
}

microseconds dispatcher::PlanRetryAfter(const std::string& service,
                                        const std::string& route,
                                        const retry_rank& rank,
                                        microseconds objective,
                                        instant earliest) {
  unsigned slots = 0;
  for (const listed_server_ptr& each : directory.Of(service)) {
    slots += each->info.slots;
  }
  const auto usual = static_cast<double>(
      route_latencies[route].TypicalLatency(objective).count());
  // All instances tell their callers to come back at the same time.
  const double spacing =
      usual * static_cast<double>(instance_count) / std::max(1U, slots);
  return comebacks.Plan(
      service, rank,
      {.earliest = earliest,
       .spacing = microseconds(static_cast<std::int64_t>(spacing))},
      Now());
}

void dispatcher::RecordNotices(const listed_server& server,
                               const backend_reply& reply,
                               const std::string& request_id, instant now) {
  // The reply of another server at the address tells nothing of this one.
  if (reply.fault != exchange_fault::kNone || reply.status == kMisdirected) {
    return;
  }
  const std::string* leaving = reply.Header(options.names.shutting_down);
  if (leaving != nullptr && *leaving == "1" &&
      notices.OnShuttingDown(server.run, now)) {
    event_line("call", "server_leaves")
        .With("server", server.info.id)
        .With("request", request_id);
  }
  const std::string* asked = reply.status == kUnavailable
                                 ? reply.Header(options.names.retry_after)
                                 : nullptr;
  if (asked == nullptr) {
    notices.OnAccepted(server.run);
    return;
  }
  const advertised_wait advertised = ParseRetryAfter(*asked);
  notices.OnPauseRequested(server.run, advertised.wait, now);
  event_line("call", "server_asks_quiet")
      .With("server", server.info.id)
      .With("request", request_id)
      .With("stated", asked->substr(0, kLoggedHeader))
      .With("doubtful", advertised.adjusted)
      .With("wait_ms", advertised.wait.count());
}

void dispatcher::OnServerRemoved(const listed_server& server) {
  if (!server.info.draining && !notices.IsShuttingDown(server.run, Now())) {
    OnServerTerminated(server, "entry");
  }
  stats.Forget(server.key);
  cold.Forget(server.key);
}

bool dispatcher::ExceedsColdLimit(const listed_server& server,
                                  instant now) const {
  if (now >= server.cold_until) return false;
  const double rate = SettingsOf(server.info.service).warmup_rate_per_s;
  if (rate <= 0) return false;
  return !cold.Allows(server.key,
                      {.rate_per_s = rate,
                       .instances = instance_count,
                       .rank = instance_rank(server.run)},
                      now);
}

void dispatcher::OnSendEnd(const listed_server_ptr& server,
                           const lost_send& send, const backend_reply& reply,
                           instant now) {
  const std::string* warmup = reply.Header(options.names.warmup_remaining_ms);
  if (warmup != nullptr) {
    std::int64_t left_ms = 0;
    std::from_chars(warmup->data(), warmup->data() + warmup->size(), left_ms);
    server->cold_until = now + milliseconds(left_ms);
  }
  if (reply.fault == exchange_fault::kNone) return;
  // A server that breaks off may have restarted, and is cold when it is back;
  // its entry tells that later.
  const service_settings settings = SettingsOf(server->info.service);
  if (settings.warmup_rate_per_s > 0) {
    server->cold_until = std::max(server->cold_until, now + settings.warmup);
  }
  if (reply.fault == exchange_fault::kBroken && reply.sent) {
    ++counts.broken_in_flight;
    crashes.OnLost(send, now);
    confirmer.OnLost(server);
  } else if (reply.fault == exchange_fault::kRefused) {
    OnServerTerminated(*server, "refused");
  }
}

void dispatcher::OnServerTerminated(const listed_server& server,
                                    std::string_view proof) {
  const crash_update news = crashes.OnTerminated(server.run, Now());
  if (news.reportable.empty()) return;
  ++counts.crashes_confirmed;
  event_line("call", "server_crashed")
      .With("server", server.info.id)
      .With("proof", proof)
      .With("blamed", news.reportable.size())
      .With("fingerprint", news.reportable.front());
  PublishCrashUpdate(news, server.info.id);
}

void dispatcher::OnSuspectReports(const std::vector<suspect_report>& reports) {
  const crash_update news = crashes.Merge(reports, Now());
  PublishCrashUpdate(news, "peer");
}

void dispatcher::PublishCrashUpdate(const crash_update& news,
                                    std::string_view source) {
  for (const std::uint64_t fingerprint : news.newly_refused) {
    event_line("call", "request_contained")
        .With("fingerprint", fingerprint)
        .With("source", source);
  }
  for (const std::uint64_t fingerprint : news.detected_here)
    on_request_contained(fingerprint);
  if (!news.reportable.empty()) on_crash_update();
}

unsigned dispatcher::MaxConnections(const std::string& service) const {
  const unsigned most = SettingsOf(service).max_connections;
  const unsigned shared =
      most > kReservedConnections ? most - kReservedConnections : 1;
  return std::max(1U, static_cast<unsigned>(shared * instance_share));
}

}  // namespace basilhoist
