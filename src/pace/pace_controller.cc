#include "basilhoist/pace/pace_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Approximate time until a paced server may get another request from this
// instance.
constexpr milliseconds kPaceWait{5};
// Limit on the paced servers in /dump.
constexpr std::size_t kMaxDumped = 50;

}  // namespace

pace_controller::pace_controller(
    const server_directory& directory, const server_stats& stats,
    std::uint64_t seed,
    std::function<microseconds(const std::string& service)> warmup_of)
    : directory_(directory),
      stats_(stats),
      random_(seed),
      warmup_of_(std::move(warmup_of)) {}

void pace_controller::OnAdded(const std::vector<listed_server_ptr>& added,
                              instant now) {
  std::map<std::string, std::vector<std::uint64_t>> by_service;
  for (const listed_server_ptr& server : added) {
    if (!directory_.MayUse(*server)) continue;
    by_service[server->info.service].push_back(server->key);
  }
  for (const auto& [service, servers] : by_service) {
    Start(service, servers, pace_reason::kStarted, now);
  }
}

void pace_controller::OnRequest(const std::string& service, instant now) {
  if (pacer_.Size() == 0) return;
  pacer_.OnRequest(service, now);
  ReportEvents(service);
}

instant pace_controller::BlockedUntil(const listed_server& server,
                                      const server_health& health,
                                      instant now) const {
  const bool allowed =
      !pacer_.IsPaced(server.key) ||
      (!health.stalled && pacer_.Allows(server.key, health.in_flight));
  return allowed ? instant() : now + kPaceWait;
}

void pace_controller::OnSent(const listed_server& server, instant now) {
  if (!pacer_.Allows(server.key, 0)) ++counts_.forced_sends;
  pacer_.OnSent(server.key, now);
}

void pace_controller::OnSendEnd(const listed_server& server,
                                const ended_send& send, instant now) {
  const microseconds took = now - send.sent_at;
  switch (send.result) {
    case send_result::kReplied: {
      replied_at_[server.key] = now;
      if (!pacer_.IsPaced(server.key)) return;
      const double expected =
          static_cast<double>(std::max<std::int64_t>(1, send.expected.count()));
      const double ratio = static_cast<double>(took.count()) / expected /
                           SlownessOfOthers(server, now);
      pacer_.OnReply(server.key, ratio, send.sent_at, now);
      break;
    }
    case send_result::kFailed:
    case send_result::kShed:
      replied_at_[server.key] = now;
      pacer_.OnFailure(server.key, send.sent_at, now);
      break;
    case send_result::kConnectionBroken:
      Start(server, pace_reason::kReconnected, now);
      break;
    case send_result::kAbandoned: {
      const auto replied = replied_at_.find(server.key);
      const bool silent =
          took >= std::max<microseconds>(kMinSilence,
                                         send.expected * kSilenceFactor) &&
          (replied == replied_at_.end() || replied->second < send.sent_at);
      if (silent) Start(server, pace_reason::kSilent, now);
      break;
    }
  }
  ReportEvents(server.info.service);
}

void pace_controller::OnPauseRequested(const listed_server& server,
                                       instant now) {
  Start(server, pace_reason::kPaused, now);
}

void pace_controller::OnWarmupStated(const listed_server& server, instant now) {
  if (!pacer_.IsPaced(server.key)) Start(server, pace_reason::kWarmingUp, now);
}

void pace_controller::OnRemoved(const listed_server& server) {
  pacer_.Forget(server.key);
  replied_at_.erase(server.key);
}

void pace_controller::Start(const listed_server& server, pace_reason reason,
                            instant now) {
  if (!directory_.MayUse(server)) return;
  Start(server.info.service, {server.key}, reason, now);
}

void pace_controller::Start(const std::string& service,
                            const std::vector<std::uint64_t>& servers,
                            pace_reason reason, instant now) {
  pace_service about{.name = service, .warmup = warmup_of_(service)};
  for (const listed_server_ptr& server : directory_.ServersOf(service)) {
    if (directory_.MayUse(*server) && !server->missing) {
      about.servers.push_back(server->key);
    }
  }
  const auto chance = [this] {
    return static_cast<double>(random_()) /
           (static_cast<double>(pcg32::max()) + 1);
  };
  pacer_.Start(servers, about, reason, chance, now);
  ReportEvents(service);
}

double pace_controller::SlownessOfOthers(const listed_server& server,
                                         instant now) const {
  std::vector<double> others;
  for (const listed_server_ptr& other :
       directory_.ServersOf(server.info.service)) {
    if (other->key == server.key || pacer_.IsPaced(other->key) ||
        !directory_.MayUse(*other)) {
      continue;
    }
    others.push_back(stats_.HealthOf(other->key, now).slowness);
  }
  if (others.empty()) return 1;
  const auto middle =
      others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  constexpr double kMinSlowness = 0.1;
  return std::max(kMinSlowness, *middle);
}

void pace_controller::ReportEvents(const std::string& service) {
  for (const pace_event& event : pacer_.TakeEvents()) {
    ++counts_.changes.at(static_cast<std::size_t>(event.change));
    if (event.change == pace_change::kBegan) {
      ++counts_.begun.at(static_cast<std::size_t>(event.reason));
    }
    const auto& servers = directory_.ServersOf(service);
    const auto found = std::find_if(
        servers.begin(), servers.end(),
        [&](const auto& server) { return server->key == event.server; });
    event_line("pace", Name(event.change))
        .With("server", found == servers.end() ? "" : (*found)->info.id)
        .With("service", service)
        .With("reason", Name(event.reason))
        .With("share", event.share)
        .With("reply_time_ratio", event.ratio)
        .With("age_ms", ToMilliseconds(event.age))
        .With("servers", servers.size());
  }
}

nlohmann::ordered_json pace_controller::Dump(instant now) const {
  auto paced = nlohmann::ordered_json::array();
  for (const auto& [id, server] : directory_.All()) {
    if (paced.size() == kMaxDumped) break;
    if (!pacer_.IsPaced(server->key)) continue;
    paced.push_back({{"server", id},
                     {"service", server->info.service},
                     {"share", pacer_.ShareOf(server->key, now)}});
  }
  return {{"count", pacer_.Size()},
          {"forced_sends", counts_.forced_sends},
          {"servers", std::move(paced)}};
}

}  // namespace basilhoist
