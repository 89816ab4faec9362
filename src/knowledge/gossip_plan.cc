#include "basilhoist/knowledge/gossip_plan.h"

#include <algorithm>
#include <map>

namespace basilhoist {
namespace {

// Shuffles the values and cuts them to a random sample of at most `limit`.
template <typename Value>
void KeepRandom(std::vector<Value>& values, std::size_t limit, pcg32& random) {
  std::shuffle(values.begin(), values.end(), random);
  if (values.size() > limit) values.resize(limit);
}

void Append(std::vector<endpoint>& to, const std::vector<endpoint>& more) {
  to.insert(to.end(), more.begin(), more.end());
}

// Peers by failure domain (local or remote) and by role.
struct peer_groups {
  std::vector<endpoint> local_readers;
  std::vector<endpoint> local;
  std::vector<endpoint> remote_readers;
  std::vector<endpoint> remote;
  std::vector<endpoint> unknown;  // no heartbeat received yet
};

peer_groups GroupPeers(const peer_table& table,
                       const std::string& local_domain) {
  peer_groups groups;
  for (const auto& [address, peer] : table.Peers()) {
    const bool local = peer.failure_domain == local_domain;
    if (!peer.SeenAlive()) {
      groups.unknown.push_back(address);
    } else if (peer.is_reader) {
      (local ? groups.local_readers : groups.remote_readers).push_back(address);
    } else {
      (local ? groups.local : groups.remote).push_back(address);
    }
  }
  return groups;
}

// Appends peers from the front of a list until `limit` peers are chosen.
void AppendUpTo(std::size_t limit, const std::vector<const known_peer*>& from,
                std::vector<const known_peer*>& chosen) {
  for (const known_peer* peer : from) {
    if (chosen.size() >= limit) return;
    chosen.push_back(peer);
  }
}

std::vector<told_domain> GroupByDomain(
    const std::vector<const known_peer*>& peers, instant now) {
  std::map<std::string, told_domain> domains;
  for (const known_peer* peer : peers) {
    told_domain& domain = domains[peer->failure_domain];
    domain.failure_domain = peer->failure_domain;
    domain.instances.push_back(
        {.address = AddressNumber(peer->address),
         .port = peer->address.port,
         .processor_permille = static_cast<std::uint16_t>(
             std::min<std::uint32_t>(peer->processor_permille, UINT16_MAX)),
         .beat = peer->beat,
         .quiet_ms =
             static_cast<std::uint32_t>(CeilMilliseconds(now - peer->alive_at)),
         .serving = peer->serving,
         .reads_store = peer->is_reader});
  }
  std::vector<told_domain> result;
  result.reserve(domains.size());
  for (auto& [name, domain] : domains) result.push_back(std::move(domain));
  return result;
}

}  // namespace

gossip_targets ChooseGossipTargets(const peer_table& table,
                                   const gossip_options& options,
                                   bool is_reader, bool has_reader, bool urgent,
                                   pcg32& random) {
  peer_groups groups = GroupPeers(table, options.failure_domain);
  gossip_targets targets;
  if (is_reader) {
    KeepRandom(groups.local, options.local_by_reader, random);
  } else {
    KeepRandom(groups.local, urgent ? options.urgent_local : options.local,
               random);
  }
  targets.local = groups.local_readers;
  Append(targets.local, groups.local);
  KeepRandom(groups.unknown, options.unknown, random);
  if (is_reader) {
    // Without known remote readers, any instance of a remote domain may be the
    // only way to reach that domain.
    if (groups.remote_readers.empty()) groups.remote_readers = groups.remote;
    KeepRandom(groups.remote_readers, options.remote_readers, random);
    targets.remote = groups.remote_readers;
  } else if (!has_reader) {
    Append(groups.remote, groups.remote_readers);
    KeepRandom(groups.remote, options.unknown, random);
    targets.remote = groups.remote;
  }
  Append(targets.remote, groups.unknown);
  return targets;
}

std::vector<told_domain> ChooseReportedPeers(
    const peer_table& table, const std::string& preferred_domain,
    bool only_preferred, std::size_t max_peers, microseconds alive_within,
    instant now, pcg32& random) {
  std::vector<const known_peer*> readers;
  std::vector<const known_peer*> preferred;
  std::vector<const known_peer*> others;
  for (const auto& [address, peer] : table.Peers()) {
    if (!peer.SeenAlive() || now - peer.alive_at >= alive_within) continue;
    if (peer.failure_domain == preferred_domain) {
      (peer.is_reader ? readers : preferred).push_back(&peer);
    } else if (!only_preferred) {
      (peer.is_reader ? readers : others).push_back(&peer);
    }
  }
  KeepRandom(readers, max_peers / 2, random);
  KeepRandom(preferred, max_peers, random);
  KeepRandom(others, max_peers, random);
  std::vector<const known_peer*> chosen = readers;
  // The preferred domain and the others share the remaining places equally,
  // unless the others need fewer.
  const std::size_t remaining = max_peers - chosen.size();
  const std::size_t for_others = std::min(others.size(), remaining / 2);
  AppendUpTo(max_peers - for_others, preferred, chosen);
  AppendUpTo(max_peers, others, chosen);
  return GroupByDomain(chosen, now);
}

}  // namespace basilhoist
