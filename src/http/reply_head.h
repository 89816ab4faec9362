// Serializes the head of a reply. Only the server's own sources include this
// file.
#pragma once

#include <cstddef>
#include <string>

#include "basilhoist/http/http_exchange.h"

namespace basilhoist {

/// What the head of a reply depends on besides the reply.
struct reply_context {
  bool is_http_1_0 = false;  ///< Version of the request.
  bool keeps_connection = true;
};

/// @return upper bound of the size of the reply's head in bytes
std::size_t MaxHeadBytes(const http_reply& reply);

/// @return whether the status and the size of the head allow to send the reply
bool CanBeSent(const http_reply& reply);

/// @return whether a reply with this status may have a body
bool MayHaveBody(int status);

/// Serializes the status line and the fields. Fields that the server sets
/// itself, and those that are no valid header fields, are left out.
std::string ReplyHead(const http_reply& reply, const reply_context& context);

}  // namespace basilhoist
