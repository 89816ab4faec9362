// Result of one request to one backend server.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/http/http_server.h"
#include "basilhoist/http/message_fault.h"

namespace basilhoist {

/// Reason why no reply was received.
enum class exchange_error : std::uint8_t {
  kNone,          ///< A complete reply arrived.
  kNotConnected,  ///< Connecting failed or timed out; nothing was sent.
  kRefused,  ///< The host refused the connection: no process listens at the
             ///< address. Nothing was sent.
  kBroken,   ///< The connection ended before the reply was complete.
  kGarbled,  ///< The received bytes are not a valid reply to the request,
             ///< or exceed a size limit.
};

/// @return short name of the error for logs
std::string_view Name(exchange_error value);

/// A reply as received, or the error that prevented it.
struct backend_reply {
  exchange_error error = exchange_error::kNone;
  /// Whether any byte of the request may have reached the server.
  bool sent = false;
  /// Why the reply is kGarbled.
  message_fault fault = message_fault::kNone;
  /// Size of what was received for this request, interim replies included.
  std::size_t received_bytes = 0;
  int status = 0;
  std::vector<http_header> headers;
  std::string body;

  /// @param name header name, case-insensitive
  /// @return first value of the header, or null
  [[nodiscard]] const std::string* Header(std::string_view name) const;
};

/// @return whether two header names are equal, ignoring case
bool SameHeader(std::string_view left, std::string_view right);

}  // namespace basilhoist
