#include "basilhoist/router/request_handler.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "basilhoist/dispatch/request_admission.h"
#include "basilhoist/http/field_syntax.h"
#include "basilhoist/ops/event_line.h"
#include "basilhoist/relay/peer_request.h"
#include "basilhoist/router/outbound_head.h"

namespace basilhoist {
namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;
// Time for the request to reach this router before it is read and for the
// answer to reach the caller. An answer just after the objective has lost most
// of its value.
constexpr microseconds kObjectiveMargin = milliseconds(7);
// Processor time, on one full core, to read the request, to merge the shard
// results that arrive last and to send the answer.
constexpr double kAnswerWorkUs = 750;
// Like kObjectiveMargin, but for the deadline, after which the caller no longer
// waits.
constexpr milliseconds kDeadlineMargin{10};
// Minimum delay before a caller that is refused for lack of a routing table
// retries. A router that has just started has its table within this time.
constexpr milliseconds kRetryWithoutTable{500};
// Interval between the retries of callers that are refused for this reason: the
// processor time of one request on a small instance.
constexpr milliseconds kRetrySpacing{5};
// Callers wait for this part of the time that they have left, no longer.
constexpr int kPatienceDivisor = 3;

// A caller that is refused during the shutdown reaches another instance with
// its retry.
constexpr milliseconds kRetryElsewhere{10};
// During the shutdown a request must have time for this multiple of its typical
// latency.
constexpr int kLateFactor = 2;

// Maximum number of missing shards that one log line lists.
constexpr std::size_t kMaxListedMissing = 8;

std::optional<milliseconds> ParseMilliseconds(const std::string& text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end || value < 0)
    return std::nullopt;
  return milliseconds(value);
}

std::size_t HeaderBytes(const http_exchange& exchange) {
  if (exchange.HeadBytes() > 0) return exchange.HeadBytes();
  constexpr std::size_t kLineOverhead = 4;  // ": " and CRLF
  std::size_t bytes = exchange.Method().size() + exchange.Target().size() +
                      std::string_view("  HTTP/1.1\r\n\r\n").size();
  for (const http_header& header : exchange.Headers()) {
    bytes += header.name.size() + header.value.size() + kLineOverhead;
  }
  return bytes;
}

// The HTTP parser is lenient: it accepts requests that a backend server could
// interpret differently.
bool IsWellFormed(const http_exchange& exchange) {
  const std::vector<http_header> headers = exchange.Headers();
  return IsToken(exchange.Method()) && IsTarget(exchange.Target()) &&
         std::all_of(
             headers.begin(), headers.end(), [](const http_header& header) {
               return IsToken(header.name) && IsFieldValue(header.value);
             });
}

request_identity IdentityOf(const http_exchange& exchange,
                            const std::string& workspace_name) {
  return crash_guard::Identify(exchange.Method(), exchange.Target(),
                               exchange.Body(), workspace_name);
}

std::string WorkspaceName(const authorization& caller) {
  return caller.sender == nullptr ? std::string() : caller.sender->name;
}

}  // namespace

void request_handler::Handle(const std::shared_ptr<http_exchange>& exchange,
                             bool handed_over) {
  ++counts_.requests;
  if (handed_over) ++counts_.taken_over;
  const routing_table_ptr table = dispatcher_.table;
  const route* matched =
      table ? table->Find(exchange->Header("Host"), exchange->Target())
            : nullptr;
  if (auto refused = Check(*exchange, matched)) {
    Refuse(*exchange, std::move(*refused));
    return;
  }
  const authorization caller = AuthorizationOf(*exchange, *matched);
  if (caller.verdict != authorization_verdict::kAllowed) {
    RefuseUnauthorized(*exchange, caller);
    return;
  }
  if (auto refused = CheckCrashes(*exchange, caller)) {
    Refuse(*exchange, std::move(*refused));
    return;
  }
  if (auto refused = CheckUsage(*exchange, *matched, caller, handed_over)) {
    Refuse(*exchange, std::move(*refused));
    return;
  }
  RecordWait(*matched, WaitOf(*exchange, *matched));
  routed_request request = Prepare(exchange, *matched, caller);
  if (ComesTooLate(request)) {
    if (!HandsOver(handed_over)) GiveBackUsage(request.outbound->workspace);
    Refuse(*exchange,
           {NotRunReply(dispatcher_.options.names, kRetryElsewhere,
                        "This instance is shutting down; it has not run."),
            "shutting_down"});
    return;
  }
  // The peer that handed a request over has admitted it.
  if (!handed_over && !CheckAdmission(request)) {
    if (!HandsOver(handed_over)) GiveBackUsage(request.outbound->workspace);
    return;
  }
  StartRequest(std::move(request), handed_over);
}

bool request_handler::CheckAdmission(const routed_request& request) {
  const outbound_request& out = *request.outbound;
  const request_admission decision = Admit(dispatcher_, request);
  if (decision.cause == admission_cause::kAdmitted) return true;
  ++counts_.refused;
  const arriving_request& basis = decision.based_on;
  event_line line("gate", "refused");
  line.With("request", out.request_id)
      .With("cause", "overload")
      .With("decided_by", Name(decision.cause))
      .With("route", out.route_name)
      .With("priority", out.priority)
      .With("retry", out.is_retry)
      .With("share", basis.servers.share)
      .With("reports", basis.servers.reports)
      .With("age_ms", ToMilliseconds(basis.servers.age))
      .With("loop_delay_ms", ToMilliseconds(basis.loop_delay))
      .With("deadline_left_ms", ToMilliseconds(basis.deadline_left))
      .With("retry_after_ms", ToMilliseconds(decision.return_delay))
      .With("version", request.table->Version());
  if (!out.workspace.empty()) line.With("workspace", out.workspace);
  request.exchange->Reply(
      NotRunReply(dispatcher_.options.names, decision.return_delay,
                  "The servers cannot take the request now; it has not run."));
  return false;
}

void request_handler::Refuse(http_exchange& exchange, refusal refused) {
  ++counts_.refused;
  event_line line("gate", "refused");
  line.With("request",
            exchange.Header(dispatcher_.options.names.request_id.c_str()))
      .With("cause", refused.cause)
      .With("status", refused.reply.status)
      .With("fingerprint", refused.identity.exact)
      .With("path_fingerprint", refused.identity.path)
      .With("version", dispatcher_.table ? dispatcher_.table->Version() : 0);
  if (!refused.usage.admitted) {
    line.With("workspace", refused.workspace_name)
        .With("basis", Name(refused.usage.basis))
        .With("basis_age_ms", ToMilliseconds(refused.usage.age))
        .With("limit_wait_ms", ToMilliseconds(refused.usage.wait));
  }
  exchange.Reply(std::move(refused.reply));
}

authorization request_handler::AuthorizationOf(const http_exchange& exchange,
                                               const route& matched) const {
  const workspace_directory_ptr& workspaces = dispatcher_.table->Workspaces();
  if (!workspaces) return {};
  std::vector<std::string> fields;
  for (http_header& header : exchange.Headers()) {
    if (SameHeader(header.name, dispatcher_.options.names.authorization)) {
      fields.push_back(std::move(header.value));
    }
  }
  return Authorize(workspaces.get(), matched.is_public, fields);
}

void request_handler::RefuseUnauthorized(http_exchange& exchange,
                                         const authorization& caller) {
  ++counts_.refused;
  ++counts_.unauthorized;
  event_line("gate", "unauthorized")
      .With("request",
            exchange.Header(dispatcher_.options.names.request_id.c_str()))
      .With("cause", Name(caller.verdict))
      .With("key", caller.key_label)
      .With("version", dispatcher_.table->Version());
  http_reply reply =
      FailureReply(kUnauthorized, "The request has no known API key.");
  reply.headers.push_back({.name = "WWW-Authenticate", .value = "Bearer"});
  exchange.Reply(std::move(reply));
}

std::optional<request_handler::refusal> request_handler::CheckCrashes(
    const http_exchange& exchange, const authorization& caller) const {
  const request_identity identity = IdentityOf(exchange, WorkspaceName(caller));
  if (!dispatcher_.crashes.Refuses(identity)) return std::nullopt;
  return refusal{
      .reply = NotRunReply(dispatcher_.options.names, crash_guard::kRetention,
                           "Servers crashed on this request; it has "
                           "not run."),
      .cause = "crashes_servers",
      .identity = identity};
}

// A request that is handed over to a peer is counted there: the peer sends it.
std::optional<request_handler::refusal> request_handler::CheckUsage(
    const http_exchange& exchange, const route& matched,
    const authorization& caller, bool handed_over) {
  const workspace* sender = caller.sender;
  if (usage_ == nullptr || sender == nullptr || sender->limit.Unlimited()) {
    return std::nullopt;
  }
  if (HandsOver(handed_over)) return std::nullopt;
  const header_names& names = dispatcher_.options.names;
  const microseconds time_left =
      ParseMilliseconds(exchange.Header(names.timeout_ms.c_str()))
          .value_or(matched.timeout);
  const usage_decision decision = usage_->Admit(
      *sender, dispatcher_.table->Version(), time_left / kPatienceDivisor);
  if (decision.admitted) return std::nullopt;
  http_reply reply =
      NotRunReply(names, decision.wait,
                  "The workspace's usage limit is used up; it has not run.");
  reply.status = kTooManyRequests;
  return refusal{.reply = std::move(reply),
                 .cause = "usage_limit",
                 .workspace_name = sender->name,
                 .usage = decision};
}

void request_handler::GiveBackUsage(const std::string& workspace_name) {
  if (usage_ == nullptr || workspace_name.empty()) return;
  usage_->GiveBack(workspace_name);
}

bool request_handler::HandsOver(bool handed_over) const {
  return !handed_over && dispatcher_.handovers != nullptr &&
         dispatcher_.isolation.Isolated();
}

// A request that expires may have run, while one that is refused can run
// elsewhere at once.
bool request_handler::ComesTooLate(const routed_request& request) const {
  if (!expires_at_) return false;
  const auto known =
      dispatcher_.route_latencies.find(request.outbound->route_name);
  const microseconds objective = request.matched->objective;
  const microseconds typical = known == dispatcher_.route_latencies.end()
                                   ? route_latency().TypicalLatency(objective)
                                   : known->second.TypicalLatency(objective);
  return request.arrived + kLateFactor * typical >= *expires_at_;
}

std::optional<request_handler::refusal> request_handler::Check(
    const http_exchange& exchange, const route* matched) const {
  const header_names& names = dispatcher_.options.names;
  if (!dispatcher_.table) {
    return refusal{NotRunReply(names, PlanRetryWithoutTable(exchange),
                               "No routing table yet; it has not run."),
                   "no_table"};
  }
  const caller_limits& limits = dispatcher_.table->Limits();
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
  const std::string wait_text = exchange.Header(names.timeout_ms.c_str());
  if (!wait_text.empty() && !ParseMilliseconds(wait_text)) {
    return refusal{FailureReply(kBadRequest, "The time to wait is no number."),
                   "bad_time_left"};
  }
  return std::nullopt;
}

// After a start, many callers are refused within a short time, so their retries
// are spread.
microseconds request_handler::PlanRetryWithoutTable(
    const http_exchange& exchange) const {
  const instant now = Now();
  const auto wait = ParseMilliseconds(
      exchange.Header(dispatcher_.options.names.timeout_ms.c_str()));
  return dispatcher_.retry_times.Plan(
      "", {.deadline = now + wait.value_or(milliseconds(0))},
      {.earliest = now + kRetryWithoutTable, .spacing = kRetrySpacing}, now);
}

routed_request request_handler::Prepare(
    const std::shared_ptr<http_exchange>& exchange, const route& matched,
    const authorization& caller) const {
  const header_names& names = dispatcher_.options.names;
  const instant now = Now();
  const milliseconds wait = WaitOf(*exchange, matched);
  const microseconds limit =
      std::min<microseconds>(wait - kDeadlineMargin, matched.timeout);
  const microseconds spent = TimeSpentBefore(matched, wait);
  auto outbound = std::make_shared<outbound_request>();
  outbound->workspace = WorkspaceName(caller);
  outbound->head = OutboundHead(
      *exchange, {.names = names,
                  .has_workspaces = dispatcher_.table->Workspaces() != nullptr,
                  .workspace_name = outbound->workspace});
  outbound->body = exchange->SharedBody();
  outbound->is_head_method = exchange->Method() == "HEAD";
  outbound->request_id = exchange->Header(names.request_id.c_str());
  outbound->route_name = matched.name;
  outbound->priority = matched.priority;
  if (caller.sender != nullptr) {
    if (!matched.is_public) outbound->api_key = caller.digest;
    outbound->priority = caller.sender->priority.value_or(matched.priority);
  }
  outbound->identity = IdentityOf(*exchange, outbound->workspace);
  outbound->idempotent = matched.idempotent;
  outbound->is_single = !matched.FansOut();
  outbound->is_retry = spent > microseconds(0);
  outbound->max_attempts = matched.max_attempts;
  outbound->objective = matched.objective;
  outbound->objective_at = now + matched.objective - spent - ObjectiveMargin();
  outbound->deadline = now + limit;
  return {.exchange = exchange,
          .table = dispatcher_.table,
          .matched = &matched,
          .outbound = std::move(outbound),
          .arrived = now};
}

microseconds request_handler::ObjectiveMargin() const {
  const double work = kAnswerWorkUs / dispatcher_.options.cpu_cores;
  return kObjectiveMargin + microseconds(static_cast<std::int64_t>(work));
}

// A caller that retries advertises less time than in its first attempt. The
// objective counts from that first attempt.
microseconds request_handler::TimeSpentBefore(const route& matched,
                                              milliseconds wait) const {
  const auto longest = longest_wait_.find(matched.name);
  return longest == longest_wait_.end()
             ? microseconds(0)
             : std::max(longest->second, wait) - wait;
}

void request_handler::RecordWait(const route& matched, milliseconds wait) {
  milliseconds& longest = longest_wait_[matched.name];
  longest = std::max(longest, wait);
}

milliseconds request_handler::WaitOf(const http_exchange& exchange,
                                     const route& matched) const {
  const std::string advertised =
      exchange.Header(dispatcher_.options.names.timeout_ms.c_str());
  return ParseMilliseconds(advertised).value_or(matched.timeout);
}

std::shared_ptr<active_request> request_handler::MakeRequest(
    routed_request request, bool handed_over,
    request_outcome_handler on_outcome) {
  if (HandsOver(handed_over)) {
    ++counts_.handed_over;
    return MakePeerRequest(dispatcher_, *dispatcher_.handovers,
                           std::move(request), std::move(on_outcome));
  }
  const route& matched = *request.matched;
  if (matched.FansOut()) {
    return MakeFanOutRequest(dispatcher_, std::move(request),
                             std::move(on_outcome));
  }
  return MakeForwardRequest(dispatcher_, std::move(request),
                            service_rotation_.Next(matched),
                            std::move(on_outcome));
}

void request_handler::StartRequest(routed_request request, bool handed_over) {
  const std::uint64_t id = ++last_id_;
  const auto exchange = request.exchange;
  auto on_end =
      [this, id,
       label = request_label{.request_id = request.outbound->request_id,
                             .route_name = request.matched->name,
                             .workspace_name = request.outbound->workspace,
                             .counts_usage = !HandsOver(handed_over),
                             .version = request.table->Version(),
                             .arrived = request.arrived}](
          const request_outcome& outcome) { OnEnd(id, label, outcome); };
  const auto active =
      MakeRequest(std::move(request), handed_over, std::move(on_end));
  active_.emplace(id, active);
  exchange->OnCallerClosed([weak = std::weak_ptr(active)] {
    if (const auto locked = weak.lock()) locked->Abandon();
  });
  active->Start();
}

void request_handler::ExpireAll() {
  // A copy, since each request is removed from active_ when it ends.
  const auto all = active_;
  for (const auto& [id, request] : all) request->Expire();
}

void request_handler::OnEnd(std::uint64_t id, const request_label& label,
                            const request_outcome& outcome) {
  active_.erase(id);
  const microseconds took = Now() - label.arrived;
  if (outcome.status == kUnavailable && outcome.sends == 0 &&
      label.counts_usage) {
    GiveBackUsage(label.workspace_name);
  }
  constexpr int kSuccess = 2;
  constexpr int kServerError = 5;
  if (outcome.status == 0) {  // No answer was sent.
    ++counts_.callers_gone;
  } else if (outcome.status / 100 == kSuccess) {
    ++(outcome.answered == outcome.shards || outcome.shards == 0
           ? counts_.answered_full
           : counts_.answered_partial);
  } else if (outcome.status / 100 == kServerError) {
    ++counts_.failed;
  }
  if (on_latency_ && outcome.status / 100 == kSuccess) on_latency_(took);
  event_line line("gate", "ended");
  line.With("request", label.request_id)
      .With("route", label.route_name)
      .With("version", label.version)
      .With("status", outcome.status)
      .With("cause", outcome.cause)
      .With("shards", outcome.shards)
      .With("answered", outcome.answered)
      .With("sends", outcome.sends)
      .With("took_ms", ToMilliseconds(took));
  if (!label.workspace_name.empty()) {
    line.With("workspace", label.workspace_name);
  }
  if (outcome.missing.empty()) return;
  auto missing = nlohmann::ordered_json::array();
  for (const missing_shard& shard : outcome.missing) {
    if (missing.size() == kMaxListedMissing) break;
    missing.push_back({{"service", shard.service},
                       {"relayed", shard.relayed},
                       {"sends", shard.sends},
                       {"oldest_ms", ToMilliseconds(shard.oldest_send_age)}});
  }
  line.With("missing", missing);
}

}  // namespace basilhoist
