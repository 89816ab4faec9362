#include "basilhoist/pace/server_pacer.h"

#include <algorithm>
#include <utility>

namespace basilhoist {
namespace {

// Bounds of the time in which a server without replies gets its even share. The
// upper one keeps a warm-up that is configured too long from idling a server.
constexpr milliseconds kMinRamp{1000};
constexpr milliseconds kMaxRamp{5000};
constexpr milliseconds kDefaultRamp{3000};

microseconds RampFor(microseconds warmup) {
  if (warmup <= microseconds(0)) return kDefaultRamp;
  return std::clamp<microseconds>(warmup, kMinRamp, kMaxRamp);
}

}  // namespace

std::string_view Name(pace_reason value) {
  constexpr std::array<std::string_view, kPaceReasonCount> kNames = {
      "started", "warming_up", "reconnected", "silent", "paused"};
  return kNames.at(static_cast<std::size_t>(value));
}

std::string_view Name(pace_change value) {
  constexpr std::array<std::string_view, kPaceChangeCount> kNames = {
      "began",     "cut",          "serves_like_others",
      "warmed_up", "most_are_new", "expired"};
  return kNames.at(static_cast<std::size_t>(value));
}

void server_pacer::Start(const std::vector<std::uint64_t>& servers,
                         const pace_service& service, pace_reason reason,
                         const std::function<double()>& chance, instant now) {
  std::erase_if(exempt_until_,
                [now](const auto& entry) { return entry.second <= now; });
  const instant new_until = now + RampFor(service.warmup);
  for (const std::uint64_t server : servers) {
    if (!paced_.contains(server)) exempt_until_[server] = new_until;
  }
  if (2 * CountNew(service) > service.servers.size()) {
    for (const std::uint64_t other : service.servers) {
      if (!paced_.contains(other)) continue;
      End(other, pace_change::kMostAreNew, now);
      exempt_until_[other] = new_until;
    }
    return;
  }
  for (const std::uint64_t server : servers) {
    exempt_until_.erase(server);
    Add(server, service, reason, chance(), now);
  }
}

void server_pacer::Add(std::uint64_t server, const pace_service& service,
                       pace_reason reason, double chance, instant now) {
  const auto known = paced_.find(server);
  if (known != paced_.end()) {
    // Requests that were in flight together fail together, and only the first
    // failure is news.
    const bool had_replied = known->second.pace.HasReplied();
    known->second.pace.Restart(now);
    known->second.reason = reason;
    if (had_replied) Report(server, known->second, pace_change::kBegan, now);
    return;
  }
  const double even = 1 / static_cast<double>(service.servers.size());
  const auto added = paced_.emplace(
      server, record{.pace = paced_server({.even_share = even,
                                           .ramp = RampFor(service.warmup),
                                           .initial_credit = chance},
                                          now),
                     .service = service.name,
                     .reason = reason});
  by_service_[service.name].push_back(server);
  Report(server, added.first->second, pace_change::kBegan, now);
}

std::size_t server_pacer::CountNew(const pace_service& service) const {
  return static_cast<std::size_t>(std::count_if(
      service.servers.begin(), service.servers.end(),
      [this](std::uint64_t server) {
        return paced_.contains(server) || exempt_until_.contains(server);
      }));
}

void server_pacer::OnRequest(const std::string& service, instant now) {
  if (paced_.empty()) return;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return;
  // Copied, since a pace that ends changes the list.
  const std::vector<std::uint64_t> servers = found->second;
  for (const std::uint64_t server : servers) {
    paced_server& pace = paced_.at(server).pace;
    pace.OnRequest(now);
    if (pace.ServesLikeOthers(now)) {
      End(server, pace_change::kServesLikeOthers, now);
    } else if (pace.HasWarmedUp(now)) {
      End(server, pace_change::kWarmedUp, now);
    } else if (pace.Expired(now)) {
      End(server, pace_change::kExpired, now);
    }
  }
}

bool server_pacer::Allows(std::uint64_t server, unsigned in_flight) const {
  const auto found = paced_.find(server);
  return found == paced_.end() || found->second.pace.Allows(in_flight);
}

void server_pacer::OnSent(std::uint64_t server, instant now) {
  const auto found = paced_.find(server);
  if (found != paced_.end()) found->second.pace.OnSent(now);
}

// Results of requests that were sent before the server started or recovered
// say nothing about it now.
void server_pacer::OnReply(std::uint64_t server, double ratio, instant sent_at,
                           instant now) {
  const auto found = paced_.find(server);
  if (found == paced_.end()) return;
  paced_server& pace = found->second.pace;
  if (sent_at < pace.StartedAt()) return;
  if (pace.OnReply(ratio, now) == pace_step::kCut) {
    Report(server, found->second, pace_change::kCut, now);
  }
}

void server_pacer::OnFailure(std::uint64_t server, instant sent_at,
                             instant now) {
  const auto found = paced_.find(server);
  if (found == paced_.end()) return;
  paced_server& pace = found->second.pace;
  if (sent_at < pace.StartedAt()) return;
  if (pace.OnFailure(now)) {
    Report(server, found->second, pace_change::kCut, now);
  }
}

void server_pacer::Forget(std::uint64_t server) {
  exempt_until_.erase(server);
  Erase(server);
}

double server_pacer::ShareOf(std::uint64_t server, instant now) const {
  const auto found = paced_.find(server);
  return found == paced_.end() ? 1 : found->second.pace.Share(now);
}

std::vector<pace_event> server_pacer::TakeEvents() {
  return std::exchange(events_, {});
}

void server_pacer::Report(std::uint64_t server, const record& of,
                          pace_change change, instant now) {
  events_.push_back({.server = server,
                     .change = change,
                     .reason = of.reason,
                     .share = of.pace.Share(now),
                     .ratio = of.pace.Ratio(),
                     .age = now - of.pace.StartedAt()});
}

void server_pacer::End(std::uint64_t server, pace_change change, instant now) {
  Report(server, paced_.at(server), change, now);
  Erase(server);
}

void server_pacer::Erase(std::uint64_t server) {
  const auto found = paced_.find(server);
  if (found == paced_.end()) return;
  const auto servers = by_service_.find(found->second.service);
  std::erase(servers->second, server);
  if (servers->second.empty()) by_service_.erase(servers);
  paced_.erase(found);
}

}  // namespace basilhoist
