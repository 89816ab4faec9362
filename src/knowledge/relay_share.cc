// Shares of limits on sends that relays make mostly.
#include <algorithm>
#include <map>
#include <string>

#include "basilhoist/knowledge/peer_table.h"

namespace basilhoist {
namespace {

// The largest of several unknown instances is taken for this multiple of their
// mean.
constexpr std::uint64_t kLargestToMean = 2;

}  // namespace

// Instances of which no heartbeat is known here, known by address or from the
// totals that peers report.
peer_table::unknown_capacity peer_table::UnknownCapacity(instant now) const {
  const auto silent = static_cast<std::uint64_t>(std::count_if(
      peers_.begin(), peers_.end(),
      [](const auto& entry) { return !entry.second.SeenAlive(); }));
  const std::uint64_t known = KnownProcessorPermille();
  const std::uint64_t instances = InstanceCount();
  const std::uint64_t total = silent * MaxProcessorPermille() +
                              std::max(known, reported_permille_.At(now)) -
                              known;
  const std::uint64_t count =
      silent + std::max(instances, reported_instances_.At(now)) - instances;
  const std::uint64_t mean = total / std::max<std::uint64_t>(1, count);
  return {.total = total, .largest = std::min(total, kLargestToMean * mean)};
}

peer_table::sender_capacity peer_table::SenderCapacity(
    instant now, const std::string& failure_domain) const {
  const unknown_capacity unknown = UnknownCapacity(now);
  std::map<std::string, std::uint32_t> largest = {
      {failure_domain, processor_permille_}};
  for (const auto& [address, peer] : peers_) {
    if (!peer.SeenAlive()) continue;
    std::uint32_t& most = largest[peer.failure_domain];
    most = std::max(most, peer.processor_permille);
  }
  const auto is_relay = [&](const std::string& domain, std::uint32_t permille) {
    return permille >= kMinRelayRatio * largest[domain];
  };
  const auto is_doubtful = [&](std::uint32_t permille) {
    return permille < kMinRelayRatio * static_cast<double>(unknown.largest);
  };
  sender_capacity capacity{
      .unknown = unknown.total,
      .self_is_relay = is_relay(failure_domain, processor_permille_),
      .self_is_doubtful = is_doubtful(processor_permille_)};
  const auto add = [&](const std::string& domain, std::uint32_t permille) {
    if (!is_relay(domain, permille)) {
      capacity.others += permille;
      return;
    }
    capacity.relays += permille;
    if (is_doubtful(permille)) capacity.doubtful_relays += permille;
  };
  add(failure_domain, processor_permille_);
  for (const auto& [address, peer] : peers_) {
    if (peer.SeenAlive()) add(peer.failure_domain, peer.processor_permille);
  }
  return capacity;
}

// Whoever may be a relay counts among the relays, and whoever may be none also
// among the others, so no instance's share is larger than if it knew all. Where
// the others have less than kOtherSendersPart of the capacity, all shares are
// by capacity.
double peer_table::RelayShare(instant now,
                              const std::string& failure_domain) const {
  const sender_capacity capacity = SenderCapacity(now, failure_domain);
  const double by_capacity = Share(now);
  const auto own = static_cast<double>(processor_permille_);
  if (!capacity.self_is_relay || capacity.self_is_doubtful) {
    const auto others = static_cast<double>(
        capacity.others + capacity.doubtful_relays + capacity.unknown);
    return std::min(by_capacity, kOtherSendersPart * own / others);
  }
  // With few known instances, the capacity of the relays is unknown.
  if (!KnowsMost(now)) return by_capacity;
  const auto relays = static_cast<double>(capacity.relays + capacity.unknown);
  return std::max(by_capacity, (1 - kOtherSendersPart) * own / relays);
}

}  // namespace basilhoist
