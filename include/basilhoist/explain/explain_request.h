// The description of a request that is explained but not sent.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "basilhoist/http/http_exchange.h"

namespace basilhoist {

/// Path of the endpoint at the ops address.
inline constexpr std::string_view kExplainPath = "/explain";
/// Largest description that is read. It has room for a target and headers of
/// the size that routing tables usually allow (64 KiB) together.
inline constexpr std::size_t kMaxExplainBytes = std::size_t{64} << 10U;
/// Headers of one description.
inline constexpr std::size_t kMaxExplainHeaders = 256;

/// A request as an operator describes it.
struct explain_request {
  std::string method;
  std::string target;  ///< Path and query.
  std::vector<http_header> headers;
};

/// Why a description cannot be used. Holds no value of the description, which
/// may contain an API key.
struct explain_fault {
  std::string field;
  std::string message;

  bool operator==(const explain_fault&) const = default;
};

/// Reads {"method": ..., "url": ..., "headers": ["Name: value", ...]}. The URL
/// is a path with an optional query, or has a host, which becomes the Host
/// header.
std::variant<explain_request, explain_fault> ParseExplainRequest(
    std::string_view text);

}  // namespace basilhoist
