#include "basilhoist/dispatch/crash_guard.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace basilhoist {
namespace {

// Runs in one message, so that it fits one packet beside the peers' addresses.
constexpr std::size_t kMostRunsTold = 40;
// Services of one request in one message.
constexpr std::size_t kMostServicesTold = 6;
// A path alone and a target without a query are told apart.
constexpr std::uint64_t kExactSeed = 0;
constexpr std::uint64_t kPathSeed = 1;

std::uint64_t Mix(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

// Whether the sender of the report refuses the request.
bool TellsRefused(const suspect_report& report) {
  std::size_t ended = 0;
  for (const suspect_service& each : report.services) {
    if (!each.answered && each.servers.size() >= crash_guard::kCrashes) {
      return true;
    }
    ended += each.servers.size();
  }
  return !report.answered && ended >= crash_guard::kCrashes;
}

}  // namespace

request_identity crash_guard::Identify(std::string_view method,
                                       std::string_view target,
                                       std::string_view body) {
  const std::string_view path = target.substr(0, target.find('?'));
  return {.exact = Mix(body, Mix(target, Mix(method, kExactSeed))),
          .path = Mix(body, Mix(path, Mix(method, kPathSeed)))};
}

std::uint64_t crash_guard::ServiceHash(std::string_view service) {
  return Mix(service, 0);
}

std::size_t crash_guard::suspect::Ended() const {
  std::size_t ended = 0;
  for (const auto& [service, record] : services) ended += record.ended.size();
  return ended;
}

bool crash_guard::suspect::RefusedAt(const service_record& record) const {
  return !record.answered && record.ended.size() >= kCrashes;
}

bool crash_guard::suspect::RefusedEverywhere() const {
  return !answered && Ended() >= kCrashes;
}

bool crash_guard::suspect::Refused() const {
  return RefusedEverywhere() || std::any_of(services.begin(), services.end(),
                                            [this](const auto& each) {
                                              return RefusedAt(each.second);
                                            });
}

void crash_guard::OnLost(lost_send loss, instant now) {
  while (!losses_.empty() && (now - losses_.front().at > kProofWithin ||
                              losses_.size() >= kMostLosses)) {
    losses_.pop_front();
  }
  losses_.push_back({.send = std::move(loss), .at = now});
}

void crash_guard::OnAnswer(const request_identity& identity,
                           std::uint64_t service, instant now) {
  if (now - remembering_since_ > kAnswerMemory ||
      answered_paths_.size() >= kMostAnsweredPaths) {
    answered_before_ = std::exchange(answered_paths_, {});
    remembering_since_ = now;
  }
  if (identity.path != 0) answered_paths_.insert(identity.path);
  if (suspects_.empty()) return;
  Clear(identity.exact, service);
  if (identity.path != 0) Clear(identity.path, service);
}

void crash_guard::Clear(std::uint64_t fingerprint, std::uint64_t service) {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return;
  found->second.answered = true;
  found->second.services[service].answered = true;
}

bool crash_guard::Answered(std::uint64_t path) const {
  return answered_paths_.contains(path) || answered_before_.contains(path);
}

// Runs beyond those that decide are kept as well, since a peer may know others
// of them, but nobody is in a hurry to hear of them.
void crash_guard::Blame(std::uint64_t fingerprint, suspect& blamed,
                        std::uint64_t service, std::uint64_t server,
                        crash_news& news) {
  service_record& record = blamed.services[service];
  const auto refused = [&] {
    return blamed.RefusedEverywhere() || blamed.RefusedAt(record);
  };
  const bool before = refused();
  if (!record.ended.insert(server).second) return;
  if (before || record.answered) return;
  news.blamed.push_back(fingerprint);
  if (refused()) news.refused.push_back(fingerprint);
}

void crash_guard::BlameLoss(std::uint64_t fingerprint, const lost_send& send,
                            instant now, crash_news& news) {
  suspect& blamed = suspects_[fingerprint];
  blamed.last = now;
  const std::vector<std::uint64_t>& answered = send.request->services;
  if (!answered.empty()) blamed.answered = true;
  if (std::find(answered.begin(), answered.end(), send.service) !=
      answered.end()) {
    blamed.services[send.service].answered = true;
  }
  if (Answered(fingerprint)) Clear(fingerprint, send.service);
  Blame(fingerprint, blamed, send.service, send.server, news);
}

crash_news crash_guard::OnEnded(std::uint64_t server, instant now) {
  crash_news news;
  for (const loss& each : losses_) {
    if (each.send.server != server || now - each.at > kProofWithin) continue;
    BlameLoss(each.send.identity.exact, each.send, now, news);
    if (each.send.identity.path == 0) continue;
    BlameLoss(each.send.identity.path, each.send, now, news);
  }
  news.found = news.refused;
  std::erase_if(losses_, [server](const loss& each) {
    return each.send.server == server;
  });
  return news;
}

crash_news crash_guard::Merge(const std::vector<suspect_report>& reports,
                              instant now) {
  crash_news news;
  for (const suspect_report& each : reports) {
    const milliseconds idle(each.idle_ms);
    if (idle >= kForgetAfter) continue;
    const std::size_t refused_before = news.refused.size();
    suspect& blamed = suspects_[each.fingerprint];
    blamed.last = std::max(blamed.last, now - idle);
    blamed.answered = blamed.answered || each.answered;
    for (const suspect_service& at : each.services) {
      service_record& record = blamed.services[at.service];
      record.answered = record.answered || at.answered;
      if (Answered(each.fingerprint)) Clear(each.fingerprint, at.service);
      for (const std::uint64_t server : at.servers) {
        Blame(each.fingerprint, blamed, at.service, server, news);
      }
    }
    if (news.refused.size() > refused_before && !TellsRefused(each)) {
      news.found.push_back(each.fingerprint);
    }
  }
  return news;
}

bool crash_guard::Refuses(const request_identity& identity) const {
  return Refuses(identity.exact) ||
         (identity.path != 0 && Refuses(identity.path));
}

bool crash_guard::Refuses(const request_identity& identity,
                          std::uint64_t service) const {
  return Refuses(identity.exact, service) ||
         (identity.path != 0 && Refuses(identity.path, service));
}

bool crash_guard::Refuses(std::uint64_t fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  return found != suspects_.end() && found->second.RefusedEverywhere();
}

bool crash_guard::Refuses(std::uint64_t fingerprint,
                          std::uint64_t service) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return false;
  const suspect& blamed = found->second;
  if (blamed.RefusedEverywhere()) return true;
  const auto record = blamed.services.find(service);
  return record != blamed.services.end() && blamed.RefusedAt(record->second);
}

std::size_t crash_guard::RefusedCount() const {
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [](const auto& each) { return each.second.Refused(); }));
}

void crash_guard::Forget(instant now) {
  std::erase_if(suspects_, [now](const auto& entry) {
    return now - entry.second.last >= kForgetAfter;
  });
}

suspect_report crash_guard::Summarize(std::uint64_t fingerprint,
                                      const suspect& blamed, instant now) {
  suspect_report report{.fingerprint = fingerprint,
                        .answered = blamed.answered,
                        .idle_ms = static_cast<std::uint32_t>(
                            CeilMilliseconds(now - blamed.last))};
  std::vector<std::pair<std::uint64_t, const service_record*>> services;
  services.reserve(blamed.services.size());
  for (const auto& [service, record] : blamed.services) {
    services.emplace_back(service, &record);
  }
  std::stable_sort(services.begin(), services.end(),
                   [](const auto& left, const auto& right) {
                     return left.second->ended.size() >
                            right.second->ended.size();
                   });
  services.resize(std::min(services.size(), kMostServicesTold));
  for (const auto& [service, record] : services) {
    suspect_service told{.service = service, .answered = record->answered};
    for (const std::uint64_t server : record->ended) {
      if (told.servers.size() == kCrashes) break;
      told.servers.push_back(server);
    }
    report.services.push_back(std::move(told));
  }
  return report;
}

std::optional<suspect_report> crash_guard::ReportOf(std::uint64_t fingerprint,
                                                    instant now) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return std::nullopt;
  return Summarize(fingerprint, found->second, now);
}

// Requests that no server has answered come first, since only they are refused
// everywhere; among equals the one that was told longest ago.
std::vector<suspect_report> crash_guard::Reports(instant now) {
  Forget(now);
  ++messages_;
  std::vector<std::pair<std::uint64_t, suspect*>> all;
  all.reserve(suspects_.size());
  for (auto& [fingerprint, blamed] : suspects_) {
    all.emplace_back(fingerprint, &blamed);
  }
  std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
    return std::tuple(left.second->answered, left.second->told, left.first) <
           std::tuple(right.second->answered, right.second->told, right.first);
  });
  std::vector<suspect_report> reports;
  std::size_t runs = 0;
  for (auto& [fingerprint, blamed] : all) {
    reports.push_back(Summarize(fingerprint, *blamed, now));
    blamed->told = messages_;
    for (const suspect_service& each : reports.back().services) {
      runs += 1 + each.servers.size();
    }
    if (runs >= kMostRunsTold) break;
  }
  return reports;
}

}  // namespace basilhoist
