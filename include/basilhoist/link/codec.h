// Encoding of messages between instances.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "basilhoist/link/messages.h"

namespace basilhoist {

/// @return the message as bytes
template <typename Message>
std::string Encode(const Message& message);

/// @return the message, or nothing if the bytes are not one whole message
template <typename Message>
std::optional<Message> Decode(std::string_view bytes);

}  // namespace basilhoist
