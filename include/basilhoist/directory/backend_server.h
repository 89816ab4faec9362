// A backend server as its entry in the store describes it.
#pragma once

#include <cstdint>
#include <string>

#include "basilhoist/base/clock.h"
#include "basilhoist/link/frame_link.h"

namespace basilhoist {

/// One incarnation of a backend server, that is, one run of its process.
struct backend_server {
  std::string id;
  std::string service;
  endpoint address;
  std::string failure_domain;
  /// Number of requests that the server processes concurrently.
  unsigned slots = 1;
  /// The server finishes the requests it has and accepts no new ones.
  bool draining = false;
  /// Remaining duration of the server's warm-up when the entry was written.
  milliseconds warmup_left{0};
  /// Start time of this incarnation, in milliseconds of the server's own clock.
  /// It differs after a restart under the same id. 0 if the entry lacks it.
  std::int64_t started_at_ms = 0;
  /// Version of the server's software; empty if the entry lacks it.
  std::string version;

  auto operator<=>(const backend_server&) const = default;

  /// @return a hash that identifies this incarnation, the same on all instances
  [[nodiscard]] std::uint64_t IncarnationHash() const;

  /// @return whether both describe the same incarnation of the same server
  [[nodiscard]] bool SameIncarnation(const backend_server& other) const {
    return id == other.id && service == other.service &&
           address == other.address && started_at_ms == other.started_at_ms;
  }
};

}  // namespace basilhoist
