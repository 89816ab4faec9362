#include "basilhoist/knowledge/snapshot_cache.h"

#include "basilhoist/knowledge/snapshot_text.h"

namespace basilhoist {

const std::string& snapshot_cache::Text(const feed_state& state,
                                        std::uint64_t digest,
                                        std::uint64_t since,
                                        std::optional<std::uint64_t> era,
                                        instant now) {
  Expire(now);
  // Beliefs change without a new revision.
  const bool current = position_ == state.Snapshot().Position() &&
                       digest_ == digest && !state.Beliefs().Active();
  if (!current) texts_.clear();
  position_ = state.Snapshot().Position();
  digest_ = digest;
  const request wanted(since, era);
  const auto found = texts_.find(wanted);
  if (found != texts_.end()) return found->second.text;
  ++formatted_;
  cached_text& made = texts_[wanted];
  made = {.text = FormatSnapshot(state, since, now, era), .formatted_at = now};
  return made.text;
}

void snapshot_cache::Expire(instant now) {
  std::erase_if(texts_, [now](const auto& entry) {
    return now - entry.second.formatted_at > kLifetime;
  });
}

}  // namespace basilhoist
