#include "basilhoist/dispatch/crash_guard.h"

#include <xxhash.h>

namespace basilhoist {
namespace {

// Reports in one datagram; more suspects at once are not expected.
constexpr std::size_t kMostReports = 8;

std::uint64_t Mix(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace

std::uint64_t crash_guard::Fingerprint(std::string_view method,
                                       std::string_view target,
                                       std::string_view body) {
  return Mix(body, Mix(target, Mix(method, 0)));
}

std::size_t crash_guard::OnBroken(std::uint64_t fingerprint,
                                  std::uint64_t server, instant now) {
  const std::size_t unconfirmed = std::erase_if(
      losses_,
      [now](const loss& each) { return now - each.at > kConfirmWithin; });
  losses_.push_back({.fingerprint = fingerprint, .server = server, .at = now});
  return unconfirmed;
}

bool crash_guard::OnRefused(std::uint64_t server, instant now) {
  bool news = false;
  for (const loss& each : losses_) {
    if (each.server != server || now - each.at > kConfirmWithin) continue;
    suspect& blamed = suspects_[each.fingerprint];
    news = blamed.servers.insert(server).second || news;
    blamed.last = now;
  }
  std::erase_if(losses_,
                [server](const loss& each) { return each.server == server; });
  return news;
}

void crash_guard::Merge(const std::vector<suspect_report>& reports,
                        instant now) {
  for (const suspect_report& each : reports) {
    suspect& blamed = suspects_[each.fingerprint];
    for (const std::uint64_t server : each.servers) {
      if (blamed.servers.insert(server).second) blamed.last = now;
    }
  }
}

bool crash_guard::Refuses(std::uint64_t fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  return found != suspects_.end() && found->second.servers.size() >= kCrashes;
}

std::vector<suspect_report> crash_guard::Reports(instant now) {
  std::erase_if(suspects_, [now](const auto& entry) {
    return now - entry.second.last > kForgetAfter;
  });
  std::vector<suspect_report> reports;
  for (const auto& [fingerprint, blamed] : suspects_) {
    if (reports.size() == kMostReports) break;
    reports.push_back(
        {.fingerprint = fingerprint,
         .servers = {blamed.servers.begin(), blamed.servers.end()}});
  }
  return reports;
}

}  // namespace basilhoist
