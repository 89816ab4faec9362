#include "basilhoist/knowledge/tell_plan.h"

#include <algorithm>
#include <map>

namespace basilhoist {
namespace {

template <typename Value>
void KeepRandom(std::vector<Value>& values, std::size_t most, pcg32& random) {
  std::shuffle(values.begin(), values.end(), random);
  if (values.size() > most) values.resize(most);
}

void Append(std::vector<endpoint>& to, const std::vector<endpoint>& more) {
  to.insert(to.end(), more.begin(), more.end());
}

// Peers by where they stand and whether they follow the store.
struct peer_groups {
  std::vector<endpoint> near_readers;
  std::vector<endpoint> near;
  std::vector<endpoint> far_readers;
  std::vector<endpoint> far;
  std::vector<endpoint> unknown;
};

peer_groups GroupPeers(const peer_table& table, const std::string& own) {
  peer_groups groups;
  for (const auto& [where, each] : table.Peers()) {
    const bool near = each.failure_domain == own;
    if (!each.Told()) {
      groups.unknown.push_back(where);
    } else if (each.reads_store) {
      (near ? groups.near_readers : groups.far_readers).push_back(where);
    } else {
      (near ? groups.near : groups.far).push_back(where);
    }
  }
  return groups;
}

// Takes peers off the front of a list until enough bytes are used.
void TakeUpTo(std::size_t most, const std::vector<const known_peer*>& from,
              std::vector<const known_peer*>& taken) {
  for (const known_peer* each : from) {
    if (taken.size() >= most) return;
    taken.push_back(each);
  }
}

std::vector<told_domain> ByDomain(const std::vector<const known_peer*>& peers,
                                  instant now) {
  std::map<std::string, told_domain> domains;
  for (const known_peer* each : peers) {
    told_domain& domain = domains[each->failure_domain];
    domain.failure_domain = each->failure_domain;
    domain.instances.push_back(
        {.address = AddressNumber(each->address),
         .port = each->address.port,
         .processor_permille = static_cast<std::uint16_t>(
             std::min<std::uint32_t>(each->processor_permille, UINT16_MAX)),
         .beat = each->beat,
         .quiet_ms =
             static_cast<std::uint32_t>(CeilMilliseconds(now - each->alive_at)),
         .serving = each->serving,
         .reads_store = each->reads_store});
  }
  std::vector<told_domain> told;
  told.reserve(domains.size());
  for (auto& [name, each] : domains) told.push_back(std::move(each));
  return told;
}

}  // namespace

tell_targets PlanTelling(const peer_table& table, const tell_options& options,
                         bool reads_store, bool has_reader, bool news,
                         pcg32& random) {
  peer_groups groups = GroupPeers(table, options.failure_domain);
  tell_targets targets;
  if (reads_store) {
    KeepRandom(groups.near, options.near_by_reader, random);
  } else {
    KeepRandom(groups.near, news ? options.news : options.near, random);
  }
  targets.near = groups.near_readers;
  Append(targets.near, groups.near);
  KeepRandom(groups.unknown, options.unknown, random);
  if (reads_store) {
    // One of a domain without readers may be the only way to reach it.
    if (groups.far_readers.empty()) groups.far_readers = groups.far;
    KeepRandom(groups.far_readers, options.far, random);
    targets.far = groups.far_readers;
  } else if (!has_reader) {
    Append(groups.far, groups.far_readers);
    KeepRandom(groups.far, options.unknown, random);
    targets.far = groups.far;
  }
  Append(targets.far, groups.unknown);
  return targets;
}

std::vector<told_domain> ChooseTold(const peer_table& table,
                                    const std::string& first, bool only_first,
                                    std::size_t most,
                                    microseconds lately_within, instant now,
                                    pcg32& random) {
  std::vector<const known_peer*> readers;
  std::vector<const known_peer*> near;
  std::vector<const known_peer*> others;
  for (const auto& [where, each] : table.Peers()) {
    if (!each.Told() || now - each.alive_at >= lately_within) continue;
    if (each.failure_domain == first) {
      (each.reads_store ? readers : near).push_back(&each);
    } else if (!only_first) {
      (each.reads_store ? readers : others).push_back(&each);
    }
  }
  KeepRandom(readers, most / 2, random);
  KeepRandom(near, most, random);
  KeepRandom(others, most, random);
  std::vector<const known_peer*> taken = readers;
  // Half of the room that is left for each, unless the others need less.
  const std::size_t left = most - taken.size();
  const std::size_t for_others = std::min(others.size(), left / 2);
  TakeUpTo(most - for_others, near, taken);
  TakeUpTo(most, others, taken);
  return ByDomain(taken, now);
}

}  // namespace basilhoist
