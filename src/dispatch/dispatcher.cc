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
// Usual times that a second send takes in all but few cases.
constexpr double kNeededFactor = 2;
// Of the fixed part of the budget, for the first failures after a start.
constexpr double kFirstFixedShare = 0.3;
// Connections of a server left for its health checks and for instances that
// this one does not know of yet.
constexpr unsigned kReservedConnections = 2;

}  // namespace

microseconds route_timing::Usual(microseconds objective) const {
  return window_.Quantile(objective / kUsualShareOfObjective);
}

// Early while the budget is full, so that the answer is early; as it empties,
// as late as a second send can still be in time, since most first sends are
// answered by then.
microseconds route_timing::SecondSendDelay(microseconds objective,
                                           microseconds left,
                                           double pressure) const {
  const auto usual = static_cast<double>(Usual(objective).count());
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

std::set<std::string> dispatcher::DomainsOf(const std::string& service,
                                            instant now) const {
  std::set<std::string> domains;
  for (const listed_server_ptr& each : directory.Of(service)) {
    if (!directory.MayUse(*each) || each->missing) continue;
    if (now < stats.Of(each->key, now).avoid_until) continue;
    domains.insert(each->info.failure_domain);
  }
  return domains;
}

bool dispatcher::TooCold(const listed_server& server, instant now) const {
  if (now >= server.cold_until) return false;
  const double rate = SettingsOf(server.info.service).warmup_rate_per_s;
  if (rate <= 0) return false;
  return !cold.May(server.key,
                   {.rate_per_s = rate,
                    .instances = instances,
                    .rank = rank_of(server.info.RunHash())},
                   now);
}

void dispatcher::OnSendEnd(const listed_server_ptr& server,
                           const lost_send& send, const backend_reply& reply,
                           instant now) {
  const std::string* warmup = reply.Header(options.names.warmup_left_ms);
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
    ++counts.broken_in_run;
    crashes.OnLost(send, now);
    confirmer.OnLost(server);
  } else if (reply.fault == exchange_fault::kRefused) {
    OnServerEnded(server->info, "refused");
  }
}

void dispatcher::OnServerEnded(const backend_server& server,
                               std::string_view proof) {
  const crash_news news = crashes.OnEnded(server.RunHash(), Now());
  if (news.blamed.empty()) return;
  ++counts.crashes_confirmed;
  event_line("call", "server_crashed")
      .With("server", server.id)
      .With("proof", proof)
      .With("blamed", news.blamed.size())
      .With("fingerprint", news.blamed.front());
  TakeNews(news, server.id);
}

void dispatcher::OnSuspects(const std::vector<suspect_report>& reports) {
  const crash_news news = crashes.Merge(reports, Now());
  TakeNews(news, "peer");
}

void dispatcher::TakeNews(const crash_news& news, std::string_view source) {
  for (const std::uint64_t fingerprint : news.refused) {
    event_line("call", "request_contained")
        .With("fingerprint", fingerprint)
        .With("source", source);
  }
  for (const std::uint64_t fingerprint : news.found) on_contained(fingerprint);
  if (!news.blamed.empty()) on_crash_news();
}

unsigned dispatcher::ConnectionsTo(const std::string& service) const {
  const unsigned most = SettingsOf(service).max_connections;
  const unsigned shared =
      most > kReservedConnections ? most - kReservedConnections : 1;
  return std::max(1U, static_cast<unsigned>(shared * part));
}

}  // namespace basilhoist
