// One limit on the memory of all buffers that clients and peers fill.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// What memory is used for.
enum class memory_use : std::uint8_t {
  kConnections,    ///< Fixed part of each open connection.
  kHeads,          ///< Heads that are being received, and pipelined requests.
  kBodies,         ///< Bodies that are being received.
  kRequests,       ///< Whole requests that have no reply yet.
  kReplies,        ///< Replies that their callers have not taken yet.
  kServerReplies,  ///< Replies of backend servers that are being received.
  kLinks,          ///< Frames of links between instances.
};

constexpr std::size_t kMemoryUseCount = 7;

/// @return name of the use for logs and metrics
std::string_view Name(memory_use value);

/// How a client keeps memory.
enum class wait_kind : std::uint8_t {
  kTransfer,  ///< Has not sent its request or frame, or not taken its reply, as
              ///< a whole.
  kIdle,      ///< Keeps a connection open between requests.
};

/// Owns buffers of clients and can give up those of clients that make it wait.
class memory_holder {
 public:
  virtual ~memory_holder() = default;

  /// @return since when the client has waited that has waited longest; nothing
  ///   if none waits
  [[nodiscard]] virtual std::optional<instant> OldestWait(
      wait_kind kind) const = 0;

  /// @return the number of clients that wait
  [[nodiscard]] virtual std::size_t Waiting(wait_kind kind) const = 0;

  /// Gives up the buffers of the client that has waited longest.
  virtual void EndOldestWait(wait_kind kind) = 0;
};

/// Limits of a memory_budget.
struct memory_budget_options {
  std::size_t total_bytes = std::size_t{96} << 20U;

  bool operator==(const memory_budget_options&) const = default;
};

/// @param instance_bytes memory of the instance
/// @return the budget of a router on such an instance
memory_budget_options BudgetFor(std::size_t instance_bytes);

/// Counts the memory of all buffers. When they exceed the limit, the clients
/// that have waited longest give way.
class memory_budget {
 public:
  /// A request with up to this size, with its copies, is served from the
  /// reserved part of the budget.
  static constexpr std::size_t kSmallRequestBytes = std::size_t{80} << 10U;

  explicit memory_budget(memory_budget_options options) : options_(options) {}
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;

  /// Adds a holder, which must be removed before it is destroyed.
  void Add(memory_holder& holder) { holders_.push_back(&holder); }
  void Remove(memory_holder& holder);

  /// Replaces the counted size of a buffer; see memory_share.
  void Count(memory_use use, std::size_t before, std::size_t after);

  /// Lets waiting clients give way until the buffers fit. A client that is the
  /// only one to wait is spared. A holder must not call this while it uses a
  /// buffer that it may give up.
  void Enforce();

  /// @param bytes memory that the request occupies, with its copies
  /// @return whether a whole request may be handled. Its memory cannot be given
  ///   up until it has a reply.
  [[nodiscard]] bool MayHandle(std::size_t bytes) const;

  [[nodiscard]] std::size_t Total() const { return options_.total_bytes; }
  [[nodiscard]] std::size_t Used() const { return used_; }
  [[nodiscard]] std::size_t Used(memory_use use) const {
    return by_use_.at(static_cast<std::size_t>(use));
  }
  /// @return the largest size so far
  [[nodiscard]] std::size_t Peak() const { return peak_; }
  /// @return the number of clients that gave way
  [[nodiscard]] std::uint64_t GaveWay() const { return gave_way_; }
  /// @return the number of requests that MayHandle did not admit
  [[nodiscard]] std::uint64_t Refused() const { return refused_; }
  void CountRefusal() { ++refused_; }

 private:
  /// Part of the budget that waiting clients may not use.
  [[nodiscard]] std::size_t Reserved() const;
  [[nodiscard]] bool EndOldestWait(wait_kind kind);

  memory_budget_options options_;
  std::vector<memory_holder*> holders_;
  std::array<std::size_t, kMemoryUseCount> by_use_{};
  std::size_t used_ = 0;
  std::size_t peak_ = 0;
  std::uint64_t gave_way_ = 0;
  std::uint64_t refused_ = 0;
};

using memory_budget_ptr = std::shared_ptr<memory_budget>;

/// The size of one buffer as counted in a budget; uncounted when destroyed.
class memory_share {
 public:
  memory_share(memory_budget_ptr budget, memory_use use)
      : budget_(std::move(budget)), use_(use) {}
  ~memory_share() { Resize(0); }
  memory_share(const memory_share&) = delete;
  memory_share& operator=(const memory_share&) = delete;

  void Resize(std::size_t bytes) {
    if (bytes == bytes_) return;
    budget_->Count(use_, bytes_, bytes);
    bytes_ = bytes;
  }

  [[nodiscard]] std::size_t Bytes() const { return bytes_; }

 private:
  memory_budget_ptr budget_;
  memory_use use_;
  std::size_t bytes_ = 0;
};

/// @param bytes memory to count as a request until the text is not used any
///   more
/// @param budget may be null
/// @return the text, to be shared without copies
std::shared_ptr<const std::string> CountedText(std::string text,
                                               const memory_budget_ptr& budget,
                                               std::size_t bytes);

}  // namespace basilhoist
