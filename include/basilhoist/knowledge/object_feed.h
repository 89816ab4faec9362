// Keeps one kind of objects up to date from the store.
#pragma once

#include <functional>
#include <string>

#include "basilhoist/knowledge/feed_state.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// Runs the calls that a feed_state asks for.
class object_feed {
 public:
  /// @param kind kind of the objects
  /// @param on_change called when the snapshot has changed
  object_feed(event_loop& loop, object_store& store, std::string kind,
              std::function<void(const object_feed&)> on_change);

  /// Reads what the store holds; a cheap answer will do.
  void Start() { Step(); }

  /// Follows the store from now on, or stops once a snapshot is known.
  void SetReadsStore(bool reads);

  /// Takes a snapshot of a peer if it is newer.
  void AdoptIfNewer(const peer_snapshot& offered);

  /// Lists again at once, since a peer knows more though the store answers.
  void Relist();

  [[nodiscard]] const std::string& Kind() const { return kind_; }
  [[nodiscard]] const feed_state& State() const { return state_; }
  /// @return the digest of the snapshot held
  [[nodiscard]] std::uint64_t Digest() const { return digest_; }
  [[nodiscard]] bool ReadsStore() const { return reads_store_; }

 private:
  void Step();
  void Call(const feed_step& step);
  void Restart();
  void OnResult(bool was_healthy, bool changed, call_outcome outcome);
  void Changed();

  event_loop& loop_;
  object_store& store_;
  std::string kind_;
  std::function<void(const object_feed&)> on_change_;
  feed_state state_;
  std::uint64_t digest_ = 0;
  bool reads_store_ = false;
  std::uint64_t call_ = 0;
  timer_id timer_ = 0;
};

}  // namespace basilhoist
