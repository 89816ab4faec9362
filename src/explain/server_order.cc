#include "basilhoist/explain/server_order.h"

#include <algorithm>
#include <array>
#include <utility>

namespace basilhoist {
namespace {

constexpr double kMiddleTie = 0.5;

constexpr std::array<std::string_view, 4> kNames = {"judged", "candidate",
                                                    "last_resort", "excluded"};

server_place PlaceOf(const dispatcher& the_dispatcher,
                     const listed_server_ptr& server, unsigned connections,
                     instant now) {
  server_place place{
      .server = server,
      .decision = the_dispatcher.Evaluate(*server, connections, now),
      .candidate = the_dispatcher.CandidateFor(*server, now)};
  place.expected_time = ExpectedTime(place.candidate, kMiddleTie);
  // A version that is being judged gets only the requests that ServerToJudge
  // gives it.
  if (place.decision.Allowed() && !the_dispatcher.MayUseVersion(*server)) {
    place.decision = {.block = send_block::kVersionHeld};
  }
  if (place.decision.Allowed()) place.role = server_role::kCandidate;
  return place;
}

// Excluded servers are ordered by when their block ends; those whose block does
// not end by itself come last.
auto OrderOf(const server_place& place) {
  const bool excluded = place.role == server_role::kExcluded;
  const bool permanent = excluded && place.decision.until == instant();
  return std::tuple(excluded ? server_role::kExcluded
                    : place.role == server_role::kJudged
                        ? server_role::kJudged
                        : server_role::kCandidate,
                    permanent, excluded ? place.decision.until : instant(),
                    place.expected_time, place.server->info.id);
}

}  // namespace

std::string_view Name(server_role value) {
  return kNames.at(static_cast<std::size_t>(value));
}

std::vector<server_place> ServersInOrder(const dispatcher& the_dispatcher,
                                         const std::string& service,
                                         instant now) {
  const unsigned connections = the_dispatcher.MaxConnections(service);
  std::vector<server_place> places;
  for (const listed_server_ptr& server :
       the_dispatcher.directory.ServersOf(service)) {
    places.push_back(PlaceOf(the_dispatcher, server, connections, now));
  }
  if (const auto judged =
          the_dispatcher.ServerToJudge(service, connections, now)) {
    for (server_place& each : places) {
      if (each.server == judged) each.role = server_role::kJudged;
    }
  }
  const bool has_choice =
      std::any_of(places.begin(), places.end(), [](const server_place& each) {
        return each.role != server_role::kExcluded;
      });
  for (server_place& each : places) {
    if (!has_choice && each.decision.AllowedAsLastResort()) {
      each.role = server_role::kLastResort;
    }
  }
  std::sort(places.begin(), places.end(),
            [](const server_place& left, const server_place& right) {
              return OrderOf(left) < OrderOf(right);
            });
  return places;
}

}  // namespace basilhoist
