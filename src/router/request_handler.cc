#include "basilhoist/router/request_handler.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "basilhoist/http/field_syntax.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
// Way of the request before it was read, and of the answer to its caller. An
// answer that misses the objective by a moment is worth little.
constexpr microseconds kObjectiveMargin = milliseconds(7);
// Processor time, on a whole core, to read the request, to merge the parts
// that come at the last moment, and to send the answer.
constexpr double kAnswerWorkUs = 750;
// The same for the deadline, after which the caller does not listen.
constexpr milliseconds kDeadlineMargin{10};
// The routing table of a router that has just started is there within this.
constexpr milliseconds kRetryWithoutTable{500};
// Between two callers that come back then; processor time of a request on a
// small machine.
constexpr milliseconds kStartSpacing{5};

// Missing shards that one log line lists.
constexpr std::size_t kListedMissing = 8;

// Headers that concern one connection, or that are set anew.
constexpr std::array<std::string_view, 10> kNotForwarded = {
    "Connection",          "Keep-Alive",    "Proxy-Connection", "TE",
    "Proxy-Authorization", "Trailer",       "Upgrade",          "Expect",
    "Transfer-Encoding",   "Content-Length"};

std::optional<milliseconds> ParseMilliseconds(const std::string& text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end || value < 0)
    return std::nullopt;
  return milliseconds(value);
}

// Names that a Connection header lists, as in "close, X-Hop".
bool Lists(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const auto comma = list.find(',');
    std::string_view each = list.substr(0, comma);
    while (each.starts_with(' ')) each.remove_prefix(1);
    while (each.ends_with(' ')) each.remove_suffix(1);
    if (SameHeader(each, name)) return true;
    if (comma == std::string_view::npos) return false;
    list.remove_prefix(comma + 1);
  }
  return false;
}

std::size_t HeaderBytes(const http_exchange& exchange) {
  constexpr std::size_t kLineOverhead = 4;  // ": " and the line's end
  std::size_t bytes = exchange.Method().size() + exchange.Target().size() +
                      std::string_view("  HTTP/1.1\r\n\r\n").size();
  for (const http_header& each : exchange.Headers()) {
    bytes += each.name.size() + each.value.size() + kLineOverhead;
  }
  return bytes;
}

// The parser is lenient; what it lets through could mean something else to a
// backend server.
bool IsWellFormed(const http_exchange& exchange) {
  const std::vector<http_header> headers = exchange.Headers();
  return IsToken(exchange.Method()) && IsTarget(exchange.Target()) &&
         std::all_of(headers.begin(), headers.end(),
                     [](const http_header& each) {
                       return IsToken(each.name) && IsFieldValue(each.value);
                     });
}

request_identity IdentityOf(const http_exchange& exchange) {
  return crash_guard::Identify(exchange.Method(), exchange.Target(),
                               exchange.Body());
}

}  // namespace

void request_handler::Handle(const std::shared_ptr<http_exchange>& exchange) {
  ++counts_.requests;
  const routing_table_ptr table = shared_.table;
  const route* matched =
      table ? table->Find(exchange->Header("Host"), exchange->Target())
            : nullptr;
  if (auto refused = Check(*exchange, matched)) {
    ++counts_.refused;
    event_line("gate", "refused")
        .With("request",
              exchange->Header(shared_.options.names.request_id.c_str()))
        .With("cause", refused->cause)
        .With("status", refused->reply.status)
        .With("fingerprint", IdentityOf(*exchange).exact)
        .With("path_fingerprint", IdentityOf(*exchange).path)
        .With("version", table ? table->Version() : 0);
    exchange->Reply(std::move(refused->reply));
    return;
  }
  Begin(Prepare(exchange, *matched));
}

std::optional<request_handler::refusal> request_handler::Check(
    const http_exchange& exchange, const route* matched) const {
  const header_names& names = shared_.options.names;
  if (!shared_.table) {
    return refusal{NotRunReply(names, PlanRetryWithoutTable(exchange),
                               "No routing table yet; it has not run."),
                   "no_table"};
  }
  const caller_limits& limits = shared_.table->Limits();
  if (HeaderBytes(exchange) > limits.max_header_bytes) {
    return refusal{FailureReply(kHeadersTooLarge, "The headers are too large."),
                   "headers_too_large"};
  }
  if (exchange.Body().size() > limits.max_body_bytes) {
    return refusal{FailureReply(kTooLarge, "The body is too large."),
                   "body_too_large"};
  }
  if (!IsWellFormed(exchange)) {
    return refusal{FailureReply(kBadRequest, "The headers are malformed."),
                   "malformed_head"};
  }
  if (matched == nullptr) {
    return refusal{FailureReply(kNotFound, "No route has this host and path."),
                   "no_route"};
  }
  if (exchange.Header(names.request_id.c_str()).empty()) {
    return refusal{FailureReply(kBadRequest, "The request has no id."),
                   "no_request_id"};
  }
  if (shared_.crashes.Refuses(IdentityOf(exchange))) {
    return refusal{NotRunReply(names, crash_guard::kForgetAfter,
                               "Servers crashed on this request; it has not "
                               "run."),
                   "crashes_servers"};
  }
  const std::string wait = exchange.Header(names.time_left_ms.c_str());
  if (!wait.empty() && !ParseMilliseconds(wait)) {
    return refusal{FailureReply(kBadRequest, "The time to wait is no number."),
                   "bad_time_left"};
  }
  return std::nullopt;
}

// All callers meet a router that has just started at the same time.
microseconds request_handler::PlanRetryWithoutTable(
    const http_exchange& exchange) const {
  const instant now = Now();
  const auto wait = ParseMilliseconds(
      exchange.Header(shared_.options.names.time_left_ms.c_str()));
  return shared_.comebacks.Plan(
      "", {.deadline = now + wait.value_or(milliseconds(0))},
      {.earliest = now + kRetryWithoutTable, .spacing = kStartSpacing}, now);
}

caller_request request_handler::Prepare(
    const std::shared_ptr<http_exchange>& exchange, const route& matched) {
  const header_names& names = shared_.options.names;
  const instant now = Now();
  const auto stated =
      ParseMilliseconds(exchange->Header(names.time_left_ms.c_str()));
  const milliseconds wait =
      exchange->Header(names.time_left_ms.c_str()).empty() || !stated
          ? matched.timeout
          : *stated;
  const microseconds limit =
      std::min<microseconds>(wait - kDeadlineMargin, matched.timeout);
  const microseconds spent = TimeSpentBefore(matched, wait);
  auto outbound = std::make_shared<outbound_request>();
  outbound->head = HeadOf(*exchange);
  outbound->body = std::make_shared<const std::string>(exchange->Body());
  outbound->is_head_method = exchange->Method() == "HEAD";
  outbound->request_id = exchange->Header(names.request_id.c_str());
  outbound->route_name = matched.name;
  outbound->identity = IdentityOf(*exchange);
  outbound->idempotent = matched.idempotent;
  outbound->max_attempts = matched.max_attempts;
  outbound->objective = matched.objective;
  outbound->objective_at = now + matched.objective - spent - ObjectiveMargin();
  outbound->deadline = now + limit;
  return {.exchange = exchange,
          .table = shared_.table,
          .matched = &matched,
          .outbound = std::move(outbound),
          .arrived = now};
}

microseconds request_handler::ObjectiveMargin() const {
  const double work = kAnswerWorkUs / shared_.options.cpu_cores;
  return kObjectiveMargin + microseconds(static_cast<std::int64_t>(work));
}

// A caller that comes again states less time than at first. The objective
// counts from its first attempt.
microseconds request_handler::TimeSpentBefore(const route& matched,
                                              milliseconds wait) {
  milliseconds& longest = longest_wait_[matched.name];
  longest = std::max(longest, wait);
  return longest - wait;
}

std::string request_handler::HeadOf(const http_exchange& exchange) const {
  const header_names& names = shared_.options.names;
  const std::string connection = exchange.Header("Connection");
  std::string head =
      exchange.Method() + " " + exchange.Target() + " HTTP/1.1\r\n";
  for (const http_header& each : exchange.Headers()) {
    const bool set_anew =
        std::any_of(kNotForwarded.begin(), kNotForwarded.end(),
                    [&each](std::string_view name) {
                      return SameHeader(name, each.name);
                    }) ||
        SameHeader(each.name, names.time_left_ms) ||
        SameHeader(each.name, names.target_server);
    if (set_anew || Lists(connection, each.name)) continue;
    head += each.name + ": " + each.value + "\r\n";
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

void request_handler::Begin(caller_request request) {
  const std::uint64_t id = ++last_id_;
  const auto exchange = request.exchange;
  auto on_end = [this, id, request_id = request.outbound->request_id,
                 route_name = request.matched->name,
                 version = request.table->Version(),
                 arrived = request.arrived](const request_end& end) {
    OnEnd(id, request_id, route_name, version, arrived, end);
  };
  const route& matched = *request.matched;
  const auto run =
      matched.FansOut()
          ? MakeFanOutRun(shared_, std::move(request), std::move(on_end))
          : MakeForwardRun(shared_, std::move(request), turns_.Next(matched),
                           std::move(on_end));
  active_.emplace(id, run);
  exchange->OnGone([weak = std::weak_ptr(run)] {
    if (const auto still = weak.lock()) still->Abandon();
  });
  run->Start();
}

void request_handler::ExpireAll() {
  // Each one leaves the map as it ends.
  const auto all = active_;
  for (const auto& [id, run] : all) run->GiveUp();
}

void request_handler::OnEnd(std::uint64_t id, const std::string& request_id,
                            const std::string& route_name,
                            std::uint64_t version, instant arrived,
                            const request_end& end) {
  active_.erase(id);
  const microseconds took = Now() - arrived;
  constexpr int kSuccess = 2;
  constexpr int kServerError = 5;
  if (end.status == 0) {
    ++counts_.callers_gone;
  } else if (end.status / 100 == kSuccess) {
    ++(end.answered == end.shards || end.shards == 0
           ? counts_.answered_full
           : counts_.answered_partial);
  } else if (end.status / 100 == kServerError) {
    ++counts_.failed;
  }
  if (observe_ && end.status / 100 == kSuccess) observe_(took);
  event_line line("gate", "ended");
  line.With("request", request_id)
      .With("route", route_name)
      .With("version", version)
      .With("status", end.status)
      .With("cause", end.cause)
      .With("shards", end.shards)
      .With("answered", end.answered)
      .With("sends", end.sends)
      .With("took_ms", ToMilliseconds(took));
  if (end.missing.empty()) return;
  auto missing = nlohmann::ordered_json::array();
  for (const missing_shard& each : end.missing) {
    if (missing.size() == kListedMissing) break;
    missing.push_back({{"service", each.service},
                       {"relayed", each.relayed},
                       {"sends", each.sends},
                       {"oldest_ms", ToMilliseconds(each.oldest)}});
  }
  line.With("missing", missing);
}

}  // namespace basilhoist
