#include "basilhoist/explain/explain_request.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "basilhoist/backend/backend_reply.h"
#include "basilhoist/http/field_syntax.h"

namespace basilhoist {
namespace {

using nlohmann::json;

// Depth of the description: an object with a list of texts.
constexpr int kMaxDepth = 2;
constexpr std::array<std::string_view, 2> kSchemes = {"http://", "https://"};
constexpr std::array<std::string_view, 3> kFields = {"method", "url",
                                                     "headers"};

struct split_url {
  std::string host;  // empty if the URL is only a path
  std::string target;
};

// Values nested more deeply are dropped while they are read, so that they cost
// no memory. Returns nothing if there are any, or the text is not JSON.
std::optional<json> ParseShallow(std::string_view text) {
  bool too_deep = false;
  const auto keep = [&too_deep](int depth, json::parse_event_t event, json&) {
    const bool opens = event == json::parse_event_t::object_start ||
                       event == json::parse_event_t::array_start;
    too_deep = too_deep || (opens && depth >= kMaxDepth);
    return !too_deep;
  };
  json value = json::parse(text, keep, false);
  if (too_deep || value.is_discarded()) return std::nullopt;
  return value;
}

std::optional<std::string> TextOf(const json& object, std::string_view name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

// Returns nothing if the URL is malformed.
std::optional<split_url> SplitUrl(std::string_view url) {
  if (url.find('#') != std::string_view::npos || !IsTarget(url)) {
    return std::nullopt;
  }
  if (url.starts_with('/')) return split_url{.target = std::string(url)};
  for (const std::string_view scheme : kSchemes) {
    if (!url.starts_with(scheme)) continue;
    const std::string_view rest = url.substr(scheme.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    const std::string_view host = rest.substr(0, end);
    if (host.empty() || host.find('@') != std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view path = rest.substr(end);
    std::string target(path.starts_with('/') ? "" : "/");
    target += path;
    return split_url{.host = std::string(host), .target = std::move(target)};
  }
  return std::nullopt;
}

std::optional<http_header> SplitHeader(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view value = line.substr(colon + 1);
  while (value.starts_with(' ')) value.remove_prefix(1);
  while (value.ends_with(' ')) value.remove_suffix(1);
  if (!IsToken(line.substr(0, colon)) || !IsFieldValue(value)) {
    return std::nullopt;
  }
  return http_header{.name = std::string(line.substr(0, colon)),
                     .value = std::string(value)};
}

std::optional<explain_fault> ReadHeaders(const json& object,
                                         std::vector<http_header>& headers) {
  const auto found = object.find("headers");
  if (found == object.end()) return std::nullopt;
  if (!found->is_array()) {
    return explain_fault{.field = "headers", .message = "must be a list"};
  }
  if (found->size() > kMaxExplainHeaders) {
    return explain_fault{.field = "headers",
                         .message = "may have at most " +
                                    std::to_string(kMaxExplainHeaders) +
                                    " entries"};
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    const json& each = (*found)[i];
    auto header = each.is_string()
                      ? SplitHeader(each.get_ref<const std::string&>())
                      : std::nullopt;
    if (!header) {
      return explain_fault{.field = "headers[" + std::to_string(i) + "]",
                           .message = "must have the form \"Name: value\""};
    }
    headers.push_back(std::move(*header));
  }
  return std::nullopt;
}

std::optional<explain_fault> FindUnknownField(const json& object) {
  for (const auto& [name, value] : object.items()) {
    if (std::find(kFields.begin(), kFields.end(), name) == kFields.end()) {
      return explain_fault{
          .field = "body",
          .message = "may have the fields method, url and headers only"};
    }
  }
  return std::nullopt;
}

}  // namespace

std::variant<explain_request, explain_fault> ParseExplainRequest(
    std::string_view text) {
  if (text.size() > kMaxExplainBytes) {
    return explain_fault{.field = "body", .message = "is too large"};
  }
  const auto parsed = ParseShallow(text);
  if (!parsed || !parsed->is_object()) {
    return explain_fault{.field = "body",
                         .message =
                             "must be a JSON object of texts and one "
                             "list of texts"};
  }
  const json& object = *parsed;
  if (auto fault = FindUnknownField(object)) return *fault;
  const auto method = TextOf(object, "method");
  if (!method || !IsToken(*method)) {
    return explain_fault{.field = "method",
                         .message = "must be an HTTP method"};
  }
  const auto url = TextOf(object, "url");
  auto parts = url ? SplitUrl(*url) : std::nullopt;
  if (!parts) {
    return explain_fault{
        .field = "url",
        .message = "must be a path, or http://HOST/PATH without user or '#'"};
  }
  explain_request request{.method = *method,
                          .target = std::move(parts->target)};
  if (auto fault = ReadHeaders(object, request.headers)) return *fault;
  if (!parts->host.empty()) {
    const auto is_host = [](const http_header& header) {
      return SameHeader(header.name, "Host");
    };
    if (std::any_of(request.headers.begin(), request.headers.end(), is_host)) {
      return explain_fault{.field = "headers",
                           .message = "names a Host, as the URL does"};
    }
    request.headers.push_back(
        {.name = "Host", .value = std::move(parts->host)});
  }
  return request;
}

}  // namespace basilhoist
