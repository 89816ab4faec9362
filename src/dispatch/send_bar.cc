#include "basilhoist/dispatch/send_bar.h"

#include <array>

namespace basilhoist {
namespace {

struct lasting_bar {
  send_bar bar;
  bool server_view::*holds;
};
constexpr std::array<lasting_bar, 4> kLasting = {
    {{.bar = send_bar::kGone, .holds = &server_view::gone},
     {.bar = send_bar::kDraining, .holds = &server_view::draining},
     {.bar = send_bar::kEvacuated, .holds = &server_view::evacuated},
     {.bar = send_bar::kLeaving, .holds = &server_view::leaving}}};

struct passing_bar {
  send_bar bar;
  instant server_view::*until;
};
constexpr std::array<passing_bar, 4> kPassing = {
    {{.bar = send_bar::kAskedQuiet, .until = &server_view::quiet_until},
     {.bar = send_bar::kBroken, .until = &server_view::broken_until},
     {.bar = send_bar::kCold, .until = &server_view::cold_until},
     {.bar = send_bar::kNoRoom, .until = &server_view::room_at}}};

constexpr std::array<std::string_view, kSendBars> kNames = {
    "none",        "gone",   "draining", "evacuated", "leaving",
    "asked_quiet", "broken", "cold",     "no_room"};

}  // namespace

std::string_view Name(send_bar value) {
  return kNames.at(static_cast<std::size_t>(value));
}

send_verdict JudgeServer(const server_view& server, instant now) {
  for (const lasting_bar& each : kLasting) {
    if (server.*each.holds) return {.bar = each.bar};
  }
  send_verdict verdict;
  for (const passing_bar& each : kPassing) {
    const instant until = server.*each.until;
    if (until > now && until > verdict.until) {
      verdict = {.bar = each.bar, .until = until};
    }
  }
  return verdict;
}

}  // namespace basilhoist
