// Limits on one received HTTP message.
#pragma once

#include <cstddef>

namespace basilhoist {

/// Limits on one message, in bytes on the wire. Chunk heads count toward
/// neither.
struct message_limits {
  std::size_t max_head_bytes = 0;
  std::size_t max_body_bytes = 0;

  bool operator==(const message_limits&) const = default;
};

}  // namespace basilhoist
