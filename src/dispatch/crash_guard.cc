#include "basilhoist/dispatch/crash_guard.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace basilhoist {
namespace {

// A message gets no further report once it contains this many hashes of
// services and incarnations, so that it fits into one packet together with the
// addresses of peers.
constexpr std::size_t kMaxHashesPerMessage = 40;
// Services in the report on one request.
constexpr std::size_t kMaxServicesPerReport = 6;
// Two seeds, so that the fingerprint of a path differs from that of an
// identical target without a query.
constexpr std::uint64_t kExactSeed = 0;
constexpr std::uint64_t kPathSeed = 1;

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

// Returns whether the sender of the report refuses the request.
bool ReportsRefusal(const suspect_report& report) {
  std::size_t crashes = 0;
  for (const suspect_service& each : report.services) {
    if (!each.answered &&
        each.servers.size() >= crash_guard::kCrashesToRefuse) {
      return true;
    }
    crashes += each.servers.size();
  }
  return !report.answered && crashes >= crash_guard::kCrashesToRefuse;
}

}  // namespace

request_identity crash_guard::Identify(std::string_view method,
                                       std::string_view target,
                                       std::string_view body,
                                       std::string_view workspace) {
  const std::string_view path = target.substr(0, target.find('?'));
  // Without a workspace the seeds stay the same, so that instances of the
  // previous build compute the same fingerprints.
  const std::uint64_t sender = workspace.empty() ? 0 : Hash(workspace, 0);
  return {.exact = Hash(body, Hash(target, Hash(method, kExactSeed ^ sender))),
          .path = Hash(body, Hash(path, Hash(method, kPathSeed ^ sender)))};
}

std::uint64_t crash_guard::ServiceHash(std::string_view service) {
  return Hash(service, 0);
}

std::size_t crash_guard::suspect::CrashCount() const {
  std::size_t crashes = 0;
  for (const auto& [service, record] : services) {
    crashes += record.crashed.size();
  }
  return crashes;
}

bool crash_guard::suspect::RefusedAt(const service_record& record) const {
  return !record.answered && record.crashed.size() >= kCrashesToRefuse;
}

bool crash_guard::suspect::RefusedEverywhere() const {
  return !answered && CrashCount() >= kCrashesToRefuse;
}

bool crash_guard::suspect::Refused() const {
  return RefusedEverywhere() || std::any_of(services.begin(), services.end(),
                                            [this](const auto& each) {
                                              return RefusedAt(each.second);
                                            });
}

void crash_guard::OnLost(lost_send loss, instant now) {
  while (!losses_.empty() && (now - losses_.front().at > kConfirmationWindow ||
                              losses_.size() >= kMaxLosses)) {
    losses_.pop_front();
  }
  losses_.push_back({.send = std::move(loss), .at = now});
}

void crash_guard::OnAnswer(const request_identity& identity,
                           std::uint64_t service, instant now) {
  if (now - answered_paths_since_ > kAnsweredPathPeriod ||
      answered_paths_.size() >= kMaxAnsweredPaths) {
    previous_answered_paths_ = std::exchange(answered_paths_, {});
    answered_paths_since_ = now;
  }
  if (identity.path != 0) answered_paths_.insert(identity.path);
  if (suspects_.empty()) return;
  ClearSuspicion(identity.exact, service);
  if (identity.path != 0) ClearSuspicion(identity.path, service);
}

void crash_guard::ClearSuspicion(std::uint64_t fingerprint,
                                 std::uint64_t service) {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return;
  found->second.answered = true;
  found->second.services[service].answered = true;
}

bool crash_guard::WasAnswered(std::uint64_t path) const {
  return answered_paths_.contains(path) ||
         previous_answered_paths_.contains(path);
}

// Records further incarnations even if the request is refused already, since a
// peer may know of different ones. These need no immediate report.
void crash_guard::AttributeCrash(std::uint64_t fingerprint, suspect& suspected,
                                 std::uint64_t service,
                                 std::uint64_t incarnation,
                                 crash_update& update) {
  service_record& record = suspected.services[service];
  const auto refused = [&] {
    return suspected.RefusedEverywhere() || suspected.RefusedAt(record);
  };
  const bool before = refused();
  if (!record.crashed.insert(incarnation).second) return;
  if (before || record.answered) return;
  update.reportable.push_back(fingerprint);
  if (refused()) update.newly_refused.push_back(fingerprint);
}

void crash_guard::AttributeLostSend(std::uint64_t fingerprint,
                                    const lost_send& send, instant now,
                                    crash_update& update) {
  suspect& suspected = suspects_[fingerprint];
  suspected.last_crash = now;
  const std::vector<std::uint64_t>& answered = send.answers->services;
  if (!answered.empty()) suspected.answered = true;
  if (std::find(answered.begin(), answered.end(), send.service) !=
      answered.end()) {
    suspected.services[send.service].answered = true;
  }
  if (WasAnswered(fingerprint)) ClearSuspicion(fingerprint, send.service);
  AttributeCrash(fingerprint, suspected, send.service, send.incarnation,
                 update);
}

crash_update crash_guard::OnTerminated(std::uint64_t incarnation, instant now) {
  crash_update update;
  for (const loss& each : losses_) {
    if (each.send.incarnation != incarnation ||
        now - each.at > kConfirmationWindow) {
      continue;
    }
    AttributeLostSend(each.send.identity.exact, each.send, now, update);
    if (each.send.identity.path == 0) continue;
    AttributeLostSend(each.send.identity.path, each.send, now, update);
  }
  update.detected_here = update.newly_refused;
  std::erase_if(losses_, [incarnation](const loss& each) {
    return each.send.incarnation == incarnation;
  });
  return update;
}

crash_update crash_guard::Merge(const std::vector<suspect_report>& reports,
                                instant now) {
  crash_update update;
  for (const suspect_report& each : reports) {
    const milliseconds idle(each.idle_ms);
    if (idle >= kRetention) continue;
    const std::size_t refused_before = update.newly_refused.size();
    suspect& suspected = suspects_[each.fingerprint];
    suspected.last_crash = std::max(suspected.last_crash, now - idle);
    suspected.answered = suspected.answered || each.answered;
    for (const suspect_service& at : each.services) {
      service_record& record = suspected.services[at.service];
      record.answered = record.answered || at.answered;
      if (WasAnswered(each.fingerprint)) {
        ClearSuspicion(each.fingerprint, at.service);
      }
      for (const std::uint64_t incarnation : at.servers) {
        AttributeCrash(each.fingerprint, suspected, at.service, incarnation,
                       update);
      }
    }
    if (update.newly_refused.size() > refused_before && !ReportsRefusal(each)) {
      update.detected_here.push_back(each.fingerprint);
    }
  }
  return update;
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
  const suspect& suspected = found->second;
  if (suspected.RefusedEverywhere()) return true;
  const auto record = suspected.services.find(service);
  return record != suspected.services.end() &&
         suspected.RefusedAt(record->second);
}

std::size_t crash_guard::RefusedCount() const {
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [](const auto& each) { return each.second.Refused(); }));
}

void crash_guard::RemoveExpired(instant now) {
  std::erase_if(suspects_, [now](const auto& entry) {
    return now - entry.second.last_crash >= kRetention;
  });
}

suspect_report crash_guard::Summarize(std::uint64_t fingerprint,
                                      const suspect& suspected, instant now) {
  suspect_report report{.fingerprint = fingerprint,
                        .answered = suspected.answered,
                        .idle_ms = static_cast<std::uint32_t>(
                            CeilMilliseconds(now - suspected.last_crash))};
  std::vector<std::pair<std::uint64_t, const service_record*>> services;
  services.reserve(suspected.services.size());
  for (const auto& [service, record] : suspected.services) {
    services.emplace_back(service, &record);
  }
  std::stable_sort(services.begin(), services.end(),
                   [](const auto& left, const auto& right) {
                     return left.second->crashed.size() >
                            right.second->crashed.size();
                   });
  services.resize(std::min(services.size(), kMaxServicesPerReport));
  for (const auto& [service, record] : services) {
    suspect_service reported{.service = service, .answered = record->answered};
    for (const std::uint64_t incarnation : record->crashed) {
      if (reported.servers.size() == kCrashesToRefuse) break;
      reported.servers.push_back(incarnation);
    }
    report.services.push_back(std::move(reported));
  }
  return report;
}

std::optional<suspect_report> crash_guard::ReportOf(std::uint64_t fingerprint,
                                                    instant now) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) return std::nullopt;
  return Summarize(fingerprint, found->second, now);
}

// Requests that no server has answered come first, since only these can be
// refused by all services. Within each group the one that was reported longest
// ago comes first.
std::vector<suspect_report> crash_guard::NextReports(instant now) {
  RemoveExpired(now);
  ++message_count_;
  std::vector<std::pair<std::uint64_t, suspect*>> all;
  all.reserve(suspects_.size());
  for (auto& [fingerprint, suspected] : suspects_) {
    all.emplace_back(fingerprint, &suspected);
  }
  std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) {
    return std::tuple(left.second->answered, left.second->last_reported,
                      left.first) < std::tuple(right.second->answered,
                                               right.second->last_reported,
                                               right.first);
  });
  std::vector<suspect_report> reports;
  std::size_t hashes = 0;
  for (auto& [fingerprint, suspected] : all) {
    reports.push_back(Summarize(fingerprint, *suspected, now));
    suspected->last_reported = message_count_;
    for (const suspect_service& each : reports.back().services) {
      hashes += 1 + each.servers.size();
    }
    if (hashes >= kMaxHashesPerMessage) break;
  }
  return reports;
}

}  // namespace basilhoist
