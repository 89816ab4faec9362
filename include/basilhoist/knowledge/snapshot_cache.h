// Shares the text of a snapshot among the peers that fetch it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "basilhoist/knowledge/feed_state.h"

namespace basilhoist {

/// Keeps the texts of one feed's snapshot for a short time. After a change all
/// followers of a reader fetch the same text, and formatting a large one takes
/// a small instance tens of milliseconds.
class snapshot_cache {
 public:
  /// A text states how long ago objects were removed, so it is not used longer.
  static constexpr milliseconds kLifetime{100};

  /// @param digest digest of the snapshot's content
  /// @param since as for FormatSnapshot
  /// @param era as for FormatSnapshot
  /// @return the text, valid until the next call
  const std::string& Text(const feed_state& state, std::uint64_t digest,
                          std::uint64_t since, std::optional<std::uint64_t> era,
                          instant now);

  /// Discards old texts.
  void Expire(instant now);

  /// @return the number of texts that were formatted
  [[nodiscard]] std::uint64_t Formatted() const { return formatted_; }

 private:
  struct cached_text {
    std::string text;
    instant formatted_at;
  };
  using request = std::pair<std::uint64_t, std::optional<std::uint64_t>>;

  store_position position_;
  std::uint64_t digest_ = 0;
  std::map<request, cached_text> texts_;
  std::uint64_t formatted_ = 0;
};

}  // namespace basilhoist
