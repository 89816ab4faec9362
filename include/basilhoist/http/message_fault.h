// Reasons why a received HTTP message is rejected.
#pragma once

#include <cstdint>
#include <string_view>

namespace basilhoist {

/// Why a received message is rejected.
enum class message_fault : std::uint8_t {
  kNone,
  kMalformed,            ///< Not HTTP/1.1, or its end is ambiguous.
  kUnsupportedVersion,   ///< Neither HTTP/1.0 nor HTTP/1.1.
  kUnsupportedEncoding,  ///< A transfer encoding other than chunked.
  kInvalidStatus,        ///< Not the status of a reply to the request.
  kHeadTooLarge,
  kBodyTooLarge,
  kChunkHeadTooLarge,      ///< A chunk's size line, or the trailer section.
  kTooManyInterimReplies,  ///< 1xx replies without a final one.
  kOtherRequest,           ///< A reply to another request.
  kNoMemory,  ///< The memory for messages being received is exhausted.
};

/// @return short name of the fault for logs
std::string_view Name(message_fault value);

}  // namespace basilhoist
