// Classifies replies of backend servers by whether the request was executed.
#pragma once

#include <cstdint>

#include "basilhoist/backend/backend_reply.h"
#include "basilhoist/dispatch/header_names.h"

namespace basilhoist {

/// Outcome of one send to a backend server.
enum class send_outcome : std::uint8_t {
  kAnswer,         ///< Complete 2xx reply with the server's signature.
  kServerFailure,  ///< Error status of the server; counts as run.
  kShed,           ///< Refused for overload or lack of time; not run.
  kWrongServer,    ///< Status 421: another server has the address; not run.
  kNeverSent,      ///< No connection was established; nothing was sent.
  kUnclear,        ///< The request may have run; no usable reply.
};

/// @return the name used in logs
std::string_view Name(send_outcome value);

/// @return whether the server did not run the request and will not run it later
bool IsKnownNotExecuted(send_outcome value);

/// Classifies a reply. Once a request has been sent, only the not-executed
/// header or status 421 proves that the server did not run it.
send_outcome ClassifyReply(const backend_reply& reply,
                           const header_names& names);

}  // namespace basilhoist
