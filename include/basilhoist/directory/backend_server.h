// A backend server as it describes itself.
#pragma once

#include <cstdint>
#include <string>

#include "basilhoist/base/clock.h"
#include "basilhoist/link/frame_link.h"

namespace basilhoist {

/// One run (incarnation) of a backend server.
struct backend_server {
  std::string id;
  std::string service;
  endpoint address;
  std::string failure_domain;
  /// Requests that it works on at the same time.
  unsigned slots = 1;
  /// It finishes what it has and takes nothing new.
  bool draining = false;
  /// How much longer it stays cold, when the entry was written.
  milliseconds warmup_left{0};
  /// When this run began, in milliseconds of its own time of day; a restart
  /// under the same id has another value. 0 if not told.
  std::int64_t started_at_ms = 0;

  auto operator<=>(const backend_server&) const = default;

  /// @return a number that names this run on all instances
  [[nodiscard]] std::uint64_t IncarnationHash() const;

  /// @return whether both describe the same run of the same server
  [[nodiscard]] bool SameIncarnation(const backend_server& other) const {
    return id == other.id && service == other.service &&
           address == other.address && started_at_ms == other.started_at_ms;
  }
};

}  // namespace basilhoist
