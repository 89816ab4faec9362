#include "basilhoist/knowledge/reader_role.h"

#include <algorithm>
#include <tuple>

namespace basilhoist {
namespace {

auto PlaceOf(std::uint32_t processor_permille, std::uint64_t order) {
  return std::tuple(~processor_permille, order);
}

}  // namespace

// Views differ while instances come and go. Whoever waits for others that have
// gone as well stops waiting after a time that grows with their number.
bool reader_role::Wanted(const reader_view& view, microseconds since) {
  if (since < kMissing) return false;
  // The store does not answer these either; more of them would not help.
  if (view.trying >= kMostTrying) return false;
  if (view.idle_before < kReaders - view.readers) return true;
  return since >=
         kMissing +
             std::min<milliseconds>(
                 kMostBefore, kEachBefore * static_cast<int>(view.idle_before));
}

bool reader_role::Decide(const reader_view& view, instant now) {
  const bool surplus =
      view.readers_before >= kReaders || view.trying_before >= kMostTrying;
  const bool differs = reads_ ? surplus : view.readers < kReaders;
  if (!differs) {
    since_ = {};
    return reads_;
  }
  if (since_ == instant()) since_ = now;
  const microseconds since = now - since_;
  if (reads_ ? since >= kSurplus : Wanted(view, since)) {
    reads_ = !reads_;
    since_ = {};
  }
  return reads_;
}

reader_view ViewReaders(const peer_table& table, const reader_identity& self,
                        instant now) {
  reader_view view;
  const auto own = PlaceOf(self.processor_permille, OrderHash(self.address));
  for (const auto& [where, each] : table.Peers()) {
    if (each.failure_domain != self.failure_domain) continue;
    const bool heard = each.ReceivedDirectly() &&
                       now - each.received_at < reader_role::kHeardWithin;
    const bool alive = now - each.alive_at < peer_table::kAliveWithin;
    const bool before = PlaceOf(each.processor_permille, each.order_hash) < own;
    if (heard && each.follows_store) {
      ++view.trying;
      if (before) ++view.trying_before;
    }
    if (heard && each.is_reader) {
      ++view.readers;
      if (before) ++view.readers_before;
    } else if (alive && each.SeenAlive() && before && !each.follows_store) {
      ++view.idle_before;
    }
  }
  return view;
}

}  // namespace basilhoist
