// How one request to one backend server ended.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/http/http_server.h"

namespace basilhoist {

/// What went wrong on the connection.
enum class exchange_error : std::uint8_t {
  kNone,          ///< A whole reply arrived.
  kNotConnected,  ///< No connection stood in time; nothing was sent.
  kRefused,       ///< Nothing listens at the address; nothing was sent.
  kBroken,        ///< The connection ended before the reply was whole.
  kGarbled,       ///< What arrived is not a reply in the protocol.
};

/// @return one short name for logs
std::string_view Name(exchange_error value);

/// A reply as it came, or what kept it away.
struct backend_reply {
  exchange_error error = exchange_error::kNone;
  /// Whether any byte of the request may have reached the server.
  bool sent = false;
  int status = 0;
  std::vector<http_header> headers;
  std::string body;

  /// @param name without regard to case
  /// @return the header's first value, or null
  [[nodiscard]] const std::string* Header(std::string_view name) const;
};

/// @return whether two header names are the same, without regard to case
bool SameHeader(std::string_view left, std::string_view right);

}  // namespace basilhoist
