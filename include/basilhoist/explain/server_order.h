// The servers of a service in the order in which a request would choose them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/dispatch/dispatcher.h"

namespace basilhoist {

/// Why a server has its place.
enum class server_role : std::uint8_t {
  kJudged,      ///< Gets the request first, so that its version is judged.
  kCandidate,   ///< Chosen by its expected time.
  kLastResort,  ///< Paced; chosen because no other server can be.
  kExcluded,    ///< Gets nothing now, because of its block.
};

/// Returns the short name used in explanations.
std::string_view Name(server_role value);

/// A server and its place.
struct server_place {
  listed_server_ptr server;
  server_role role = server_role::kExcluded;
  send_decision decision;
  replica_candidate candidate;
  /// See ExpectedTime; the random part that decides between equal servers
  /// counts half.
  double expected_time = 0;
};

/// Makes the choice of a first send (service_call) without its effects.
/// @return all listed servers of the service: those that would be chosen in
///   their order, then the excluded ones
std::vector<server_place> ServersInOrder(const dispatcher& the_dispatcher,
                                         const std::string& service,
                                         instant now);

}  // namespace basilhoist
