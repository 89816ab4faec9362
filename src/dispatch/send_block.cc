#include "basilhoist/dispatch/send_block.h"

#include <array>

namespace basilhoist {
namespace {

// In order of precedence.
struct permanent_block {
  send_block block;
  bool server_condition::*active;
};
constexpr std::array<permanent_block, 5> kPermanentBlocks = {
    {{.block = send_block::kRemoved, .active = &server_condition::removed},
     {.block = send_block::kDraining, .active = &server_condition::draining},
     {.block = send_block::kEvacuated, .active = &server_condition::evacuated},
     {.block = send_block::kShuttingDown,
      .active = &server_condition::shutting_down},
     {.block = send_block::kVersionHeld,
      .active = &server_condition::version_held}}};

struct temporary_block {
  send_block block;
  instant server_condition::*until;
};
constexpr std::array<temporary_block, 5> kTemporaryBlocks = {
    {{.block = send_block::kPauseRequested,
      .until = &server_condition::paused_until},
     {.block = send_block::kAvoided, .until = &server_condition::avoid_until},
     {.block = send_block::kRateLimited,
      .until = &server_condition::rate_limited_until},
     {.block = send_block::kColdStart,
      .until = &server_condition::cold_limited_until},
     {.block = send_block::kNoFreeConnection,
      .until = &server_condition::connection_free_at}}};

// In the order of the enumerators.
constexpr std::array<std::string_view, kSendBlockCount> kNames = {
    "none",   "gone",    "draining", "evacuated", "leaving", "asked_quiet",
    "broken", "limited", "cold",     "no_room",   "paced",   "version_held"};

}  // namespace

std::string_view Name(send_block value) {
  return kNames.at(static_cast<std::size_t>(value));
}

send_decision EvaluateServer(const server_condition& server, instant now) {
  for (const permanent_block& each : kPermanentBlocks) {
    if (server.*each.active) return {.block = each.block};
  }
  send_decision decision;
  for (const temporary_block& each : kTemporaryBlocks) {
    const instant until = server.*each.until;
    if (until > now && until > decision.until) {
      decision = {.block = each.block, .until = until};
    }
  }
  if (decision.Allowed() && server.paced_until > now) {
    return {.block = send_block::kPaced, .until = server.paced_until};
  }
  return decision;
}

}  // namespace basilhoist
