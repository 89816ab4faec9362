#include "basilhoist/usage/usage_members.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace basilhoist {
namespace {

// As in peer_table::RankFor: higher for stronger instances on average.
double Score(std::uint64_t key, const usage_member& member) {
  const std::array<std::uint64_t, 2> place = {AddressNumber(member.address),
                                              member.address.port};
  const auto hash = static_cast<double>(XXH64(place.data(), sizeof place, key));
  constexpr double kHashes = 18446744073709551616.0;  // 2^64
  return -static_cast<double>(std::max(1U, member.processor_permille)) /
         std::log((hash + 0.5) / kHashes);
}

struct candidate {
  double score = 0;
  const usage_member* member = nullptr;
};

}  // namespace

usage_members usage_membership::Update(const peer_table& peers,
                                       const std::vector<known_peer>& alive,
                                       instant now) {
  usage_members result{.members = {self_}, .share = peers.Share(now)};
  for (const known_peer& peer : alive) {
    result.members.push_back({.address = peer.address,
                              .processor_permille = peer.processor_permille});
  }
  std::sort(result.members.begin(), result.members.end());
  // Addresses from which no heartbeat has come may be out of use for long.
  const auto heard =
      std::count_if(peers.Peers().begin(), peers.Peers().end(),
                    [](const auto& entry) { return entry.second.SeenAlive(); });
  knew_most_ = knew_most_ ||
               (peers.KnowsMost(now) && (heard > 0 || peers.Peers().empty()));
  // Of two instances none has a majority without the other, so the one that
  // is left goes on alone.
  const auto known = static_cast<std::ptrdiff_t>(result.members.size());
  result.complete = knew_most_ && (2 * known > heard + 1 || heard <= 1);
  return result;
}

std::vector<endpoint> ChooseUsageKeepers(
    std::uint64_t key, const std::vector<usage_member>& members) {
  std::vector<candidate> order;
  order.reserve(members.size());
  for (const usage_member& member : members) {
    order.push_back({.score = Score(key, member), .member = &member});
  }
  const std::size_t count = std::min(kUsageKeepers, order.size());
  std::partial_sort(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
      order.end(),
      [](const candidate& a, const candidate& b) { return a.score > b.score; });
  std::vector<endpoint> keepers;
  for (std::size_t i = 0; i < count; ++i) {
    keepers.push_back(order[i].member->address);
  }
  return keepers;
}

}  // namespace basilhoist
