// Corrects what the store says after it came back from an older copy, by what
// was known before.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/knowledge/restore_policy.h"

namespace basilhoist {

/// Objects of one kind that the store's present content gets wrong. Beliefs end
/// when an object is written again, and all of them after kLifetime.
class restore_beliefs {
 public:
  using object_map = std::map<std::string, object>;

  /// Time in which the operator and the backend servers have written again what
  /// the store lost.
  static constexpr milliseconds kLifetime{20000};

  explicit restore_beliefs(restore_policy policy = {})
      : policy_(std::move(policy)) {}

  /// Called when the store has come back from an older copy.
  /// @param era era of the store since then
  /// @param held objects known before
  /// @param ended last states of objects that were removed before
  void Begin(std::uint64_t era, const object_map& held,
             const std::vector<object>& ended, instant now);

  /// Called with what a peer believes that has seen the same return. Does
  /// nothing if this instance has its own beliefs of that era already.
  /// @param time_left how long the peer's beliefs last
  void Join(std::uint64_t era, const std::vector<object>& ended,
            milliseconds time_left, instant now);

  /// Called with objects that a peer of the same era believes to have ended.
  void AddEnded(const std::vector<object>& ended);

  /// @return whether there were no beliefs yet since the store came back in
  ///   this era
  [[nodiscard]] bool MayJoin(std::uint64_t era) const { return era > era_; }

  /// Corrects a whole listing.
  /// @param held objects held here, which the listing replaces
  /// @param kept_by_peer for the listing of a peer: names in it that the store
  ///   does not list
  void CorrectListing(object_map& listed, const object_map& held,
                      const std::set<std::string>& kept_by_peer = {});

  /// @param held the state held here; null if there is none
  /// @return whether a change that the store reports takes effect
  [[nodiscard]] bool AcceptsChange(const object& changed, const object* held);

  /// Called when the store reports that an object was removed.
  void OnRemoved(const std::string& name);

  /// Ends the beliefs after their lifetime.
  /// @param held objects held here, changed to what the store says
  /// @return whether `held` changed
  bool Expire(object_map& held, instant now);

  [[nodiscard]] const restore_policy& Policy() const { return policy_; }
  [[nodiscard]] bool Active() const { return until_ > instant(); }
  [[nodiscard]] milliseconds TimeLeft(instant now) const;

  /// @return names of objects that are held although the store lacks them
  [[nodiscard]] const std::set<std::string>& Kept() const { return kept_; }

  /// @return last states of objects that are believed to have ended
  [[nodiscard]] const object_map& Ended() const { return ended_; }

 private:
  // Whether a listed object is in a state that had ended before.
  [[nodiscard]] bool HasEnded(const object& listed) const;

  restore_policy policy_;
  std::uint64_t era_ = 0;  // of the last beliefs
  instant until_;
  object_map ended_;
  object_map hidden_;           // listed by the store, but ended
  std::set<std::string> kept_;  // not listed by the store
};

}  // namespace basilhoist
