// Whether peers know more than this instance's own watch has told it.
#pragma once

#include <cstdint>

#include "basilhoist/base/clock.h"

namespace basilhoist {

/// What a peer holds of a kind of objects, beside what is held here.
struct peer_lead {
  std::uint64_t ours = 0;    ///< Revision held here.
  std::uint64_t theirs = 0;  ///< Revision that the peer holds.
  bool same_content = false;

  [[nodiscard]] bool Ahead() const { return theirs > ours && !same_content; }
};

/// How this instance's own feed stands when a peer tells what it holds.
struct feed_standing {
  bool known = false;    ///< It holds a snapshot.
  bool healthy = false;  ///< The store answered its last call.
  bool listing = false;  ///< A listing is under way.
  bool reads = true;     ///< It follows the store; else its peers.
};

/// What to do about a peer's state.
enum class lead_action : std::uint8_t {
  kNothing,
  kFetch,      ///< Take what changed from the peer.
  kListAgain,  ///< The watch hangs: ask the store by another call.
};

/// @param ahead whether the peer knows more
/// @param overdue whether a change that some peer has is overdue
lead_action DecideOnLead(const feed_standing& own, bool ahead, bool overdue);

/// Finds a watch that hangs: the store answers other calls, but changes that a
/// peer has seen do not come.
class lead_tracker {
 public:
  /// The own watch may bring a change so much later than a peer's.
  static constexpr milliseconds kOverdue{800};

  /// A peer has told what it holds. Most peers may be as far behind as this
  /// instance; one that is not ahead says nothing against one that was.
  /// @return whether a change that a peer has is overdue; then starts anew
  bool OnPeer(const peer_lead& told, instant now);

 private:
  std::uint64_t lead_ = 0;  // highest revision of peers; 0: none is ahead
  instant since_;
};

}  // namespace basilhoist
