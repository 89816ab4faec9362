// What a backend server's reply says about the request.
#pragma once

#include <cstdint>

#include "basilhoist/backend/backend_reply.h"
#include "basilhoist/dispatch/header_names.h"

namespace basilhoist {

/// What became of one send.
enum class send_outcome : std::uint8_t {
  kAnswer,         ///< A success with its proof, whole.
  kServerFailure,  ///< The server's own failure; it counts as run.
  kShed,           ///< It did not run the request, for lack of room or time.
  kWrongServer,    ///< Another server has the address; it did not run it.
  kNeverSent,      ///< No connection; nothing was sent.
  kUnclear,        ///< It may have run; there is no reply to use.
};

/// @return one short name for logs
std::string_view Name(send_outcome value);

/// @return whether the request cannot have run and never will
bool IsKnownNotExecuted(send_outcome value);

/// Judges a reply. Only the header that says so, or status 421, proves that
/// a request that was sent has not run.
send_outcome ClassifyReply(const backend_reply& reply,
                           const header_names& names);

}  // namespace basilhoist
