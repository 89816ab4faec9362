// What the status of an HTTP reply says about the reply.
#pragma once

#include <cstdint>

namespace basilhoist {

/// Kinds of statuses (RFC 9110, section 15).
enum class status_kind : std::uint8_t {
  kInterim,  ///< 1xx: another reply to the request follows.
  kFinal,    ///< 2xx to 5xx: the reply ends the request.
  kInvalid,  ///< No status of HTTP; the reply is no answer.
};

/// @return the kind of a status; every reader of replies decides by it
constexpr status_kind KindOfStatus(int status) {
  constexpr int kFirstInterim = 100;
  constexpr int kFirstFinal = 200;
  constexpr int kFirstBeyond = 600;
  if (status < kFirstInterim || status >= kFirstBeyond) {
    return status_kind::kInvalid;
  }
  return status < kFirstFinal ? status_kind::kInterim : status_kind::kFinal;
}

constexpr bool IsFinalStatus(int status) {
  return KindOfStatus(status) == status_kind::kFinal;
}

}  // namespace basilhoist
