#include "basilhoist/memory/memory_budget.h"

#include <algorithm>
#include <utility>

namespace basilhoist {
namespace {

// A router has at most this part of its instance's memory for buffers of
// clients. The rest is for the process itself (14 to 45 MB), for what the
// allocator cannot give back, and for the sockets' buffers in the kernel.
constexpr std::size_t kInstanceParts = 5;
// Larger instances get no larger budget: 24 MB are 90 bodies of 256 KB at a
// time, and the process is charged for its peak memory.
constexpr std::size_t kMaxBudget = std::size_t{24} << 20U;
constexpr std::size_t kMinBudget = std::size_t{1} << 20U;
// One part of the budget is kept free of clients that wait, so that requests
// that arrive as a whole are still handled.
constexpr std::size_t kReservedParts = 4;
// Large requests that are being handled may use one part, so that others can
// be received meanwhile.
constexpr std::size_t kLargeRequestParts = 2;

}  // namespace

std::string_view Name(memory_use value) {
  constexpr std::array<std::string_view, kMemoryUseCount> kNames = {
      "connections", "heads",          "bodies", "requests",
      "replies",     "server_replies", "links"};
  return kNames.at(static_cast<std::size_t>(value));
}

memory_budget_options BudgetFor(std::size_t instance_bytes) {
  return {.total_bytes = std::clamp(instance_bytes / kInstanceParts, kMinBudget,
                                    kMaxBudget)};
}

void memory_budget::Remove(memory_holder& holder) {
  std::erase(holders_, &holder);
}

void memory_budget::Count(memory_use use, std::size_t before,
                          std::size_t after) {
  std::size_t& counted = by_use_.at(static_cast<std::size_t>(use));
  counted = counted - before + after;
  used_ = used_ - before + after;
  peak_ = std::max(peak_, used_);
}

std::size_t memory_budget::Reserved() const {
  return options_.total_bytes / kReservedParts;
}

void memory_budget::Enforce() {
  const std::size_t limit = options_.total_bytes - Reserved();
  while (used_ > limit && EndOldestWait(wait_kind::kTransfer)) {
  }
  while (used_ > limit && EndOldestWait(wait_kind::kIdle)) {
  }
}

bool memory_budget::EndOldestWait(wait_kind kind) {
  memory_holder* chosen = nullptr;
  std::optional<instant> oldest;
  std::size_t waiting = 0;
  for (memory_holder* holder : holders_) {
    waiting += holder->Waiting(kind);
    const auto since = holder->OldestWait(kind);
    if (!since || (oldest && *oldest <= *since)) continue;
    oldest = since;
    chosen = holder;
  }
  if (chosen == nullptr || waiting < 2) return false;
  ++gave_way_;
  chosen->EndOldestWait(kind);
  return true;
}

bool memory_budget::MayHandle(std::size_t bytes) const {
  const std::size_t handled =
      Used(memory_use::kRequests) + Used(memory_use::kServerReplies);
  // A request that is alone is handled whatever its size, since its size is
  // within the limit of a single request.
  if (handled == 0) return true;
  const std::size_t limit = bytes <= kSmallRequestBytes
                                ? options_.total_bytes
                                : options_.total_bytes / kLargeRequestParts;
  return handled + bytes <= limit;
}

std::shared_ptr<const std::string> CountedText(std::string text,
                                               const memory_budget_ptr& budget,
                                               std::size_t bytes) {
  struct counted_text {
    std::string text;
    memory_share share;

    counted_text(std::string the_text, const memory_budget_ptr& budget)
        : text(std::move(the_text)), share(budget, memory_use::kRequests) {}
  };
  if (!budget) return std::make_shared<const std::string>(std::move(text));
  const auto counted = std::make_shared<counted_text>(std::move(text), budget);
  counted->share.Resize(bytes);
  return {counted, &counted->text};
}

}  // namespace basilhoist
