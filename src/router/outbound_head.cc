#include "basilhoist/router/outbound_head.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "basilhoist/backend/backend_reply.h"

namespace basilhoist {
namespace {

// Headers that apply to one connection only, or that each send sets itself.
constexpr std::array<std::string_view, 10> kNotForwarded = {
    "Connection",          "Keep-Alive",    "Proxy-Connection", "TE",
    "Proxy-Authorization", "Trailer",       "Upgrade",          "Expect",
    "Transfer-Encoding",   "Content-Length"};

// Returns whether a Connection header, such as "close, X-Hop", lists a name.
bool ListsHeader(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    std::string_view entry = list.substr(0, comma);
    while (entry.starts_with(' ')) entry.remove_prefix(1);
    while (entry.ends_with(' ')) entry.remove_suffix(1);
    if (SameHeader(entry, name)) return true;
    if (comma == std::string_view::npos) return false;
    list.remove_prefix(comma + 1);
  }
  return false;
}

// Servers that pass headers on as environment variables do not distinguish '_'
// from '-'.
bool IsSpellingOf(std::string_view name, const std::string& header) {
  std::string spelling(name);
  std::replace(spelling.begin(), spelling.end(), '_', '-');
  return SameHeader(spelling, header);
}

// Where there are workspaces, no Authorization field is forwarded, not even on
// a public route: it may hold a key that has been removed.
bool IsForwarded(const http_header& header, const outbound_head_options& how) {
  const bool not_forwarded =
      std::any_of(kNotForwarded.begin(), kNotForwarded.end(),
                  [&header](std::string_view name) {
                    return SameHeader(name, header.name);
                  }) ||
      SameHeader(header.name, how.names.timeout_ms) ||
      SameHeader(header.name, how.names.target_server) ||
      (how.has_workspaces &&
       (SameHeader(header.name, how.names.authorization) ||
        IsSpellingOf(header.name, how.names.workspace)));
  return !not_forwarded;
}

}  // namespace

std::string OutboundHead(const http_exchange& exchange,
                         const outbound_head_options& how) {
  const std::string connection = exchange.Header("Connection");
  std::string head =
      exchange.Method() + " " + exchange.Target() + " HTTP/1.1\r\n";
  for (const http_header& header : exchange.Headers()) {
    if (!IsForwarded(header, how) || ListsHeader(connection, header.name)) {
      continue;
    }
    head += header.name + ": " + header.value + "\r\n";
  }
  if (!how.workspace_name.empty()) {
    head += how.names.workspace + ": " + how.workspace_name + "\r\n";
  }
  const bool has_body = !exchange.Body().empty() ||
                        !exchange.Header("Content-Length").empty() ||
                        !exchange.Header("Transfer-Encoding").empty();
  if (has_body) {
    head +=
        "Content-Length: " + std::to_string(exchange.Body().size()) + "\r\n";
  }
  return head;
}

}  // namespace basilhoist
