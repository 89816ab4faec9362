#include "request_parser.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace basilhoist::internal {
namespace {

constexpr std::size_t kLongestRequestId = 128;
constexpr std::int64_t kLongestDeadlineMs = 60000;

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> steps;
  std::size_t from = 1;
  while (from <= path.size()) {
    const auto slash = std::min(path.find('/', from), path.size());
    steps.push_back(path.substr(from, slash - from));
    from = slash + 1;
  }
  return steps;
}

parse_outcome Fail(parse_outcome outcome, int status, std::string fault) {
  outcome.status = status;
  outcome.fault = std::move(fault);
  return outcome;
}

// Ids travel in headers and URLs between processes.
bool IsPlainId(const std::string& id) {
  return id.size() <= kLongestRequestId &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' ||
                  c == ':';
         });
}

bool ReadDeadline(const std::string& text, milliseconds& deadline) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value <= 0 ||
      value > kLongestDeadlineMs) {
    return false;
  }
  deadline = milliseconds(value);
  return true;
}

struct operation_name {
  std::string_view method;
  std::string_view step;
  std::size_t steps;
  operation kind;
  bool service_group::*allowed;
};

constexpr operation_name kOperations[] = {
    {"POST", "query", 4, operation::kQuery, &service_group::queries},
    {"GET", "records", 5, operation::kLookup, &service_group::lookups},
    {"POST", "once", 4, operation::kOnce, &service_group::once},
};

}  // namespace

parse_outcome ParseCallerRequest(const http_exchange& exchange,
                                 const entry_task& entry) {
  parse_outcome outcome;
  caller_request& request = outcome.request;
  const std::string id = exchange.Header("X-Request-Id");
  if (!IsPlainId(id)) {
    return Fail(outcome, 400,
                "X-Request-Id takes up to 128 letters, digits and -_.:");
  }
  request.request_id = id;
  const auto steps = SplitPath(exchange.Path());
  if (steps.size() < 4 || steps[0] != "v1" || steps[1] != "groups") {
    return Fail(outcome, 404, "The path is /v1/groups/GROUP/OPERATION.");
  }
  const auto* found = std::find_if(
      std::begin(kOperations), std::end(kOperations), [&](const auto& each) {
        return each.step == steps[3] && each.steps == steps.size();
      });
  if (found == std::end(kOperations)) {
    return Fail(outcome, 404, "Operations are query, records/KEY and once.");
  }
  if (found->method != exchange.Method()) {
    return Fail(outcome, 405,
                "This operation takes " + std::string(found->method) + ".");
  }
  const service_group* group = entry.FindGroup(steps[2]);
  if (group == nullptr) {
    return Fail(outcome, 404, "There is no service group " + steps[2] + ".");
  }
  if (!(group->*(found->allowed))) {
    return Fail(
        outcome, 403,
        "Service group " + steps[2] + " does not take " + steps[3] + ".");
  }
  request.kind = found->kind;
  request.group = steps[2];
  request.deadline = group->policy.default_deadline;
  const std::string deadline = exchange.Header("X-Deadline-Ms");
  if (!deadline.empty() && !ReadDeadline(deadline, request.deadline)) {
    return Fail(outcome, 400,
                "X-Deadline-Ms takes a whole number from 1 to 60000.");
  }
  request.body = exchange.Body();
  if (found->method == "POST" && !nlohmann::json::accept(request.body)) {
    return Fail(outcome, 400, "The body is not JSON.");
  }
  if (request.kind == operation::kLookup) {
    request.key = steps[4];
    if (request.key.empty()) return Fail(outcome, 400, "The key is empty.");
    request.body = nlohmann::json{{"key", request.key}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  if (request.kind == operation::kOnce) {
    if (id.empty()) {
      return Fail(outcome, 400, "This operation needs an X-Request-Id.");
    }
    request.key = id;
  }
  return outcome;
}

}  // namespace basilhoist::internal
