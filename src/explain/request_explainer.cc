#include "basilhoist/explain/request_explainer.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "basilhoist/dispatch/answer_policy.h"
#include "basilhoist/dispatch/request_admission.h"
#include "basilhoist/explain/server_order.h"
#include "basilhoist/relay/relay_client.h"
#include "basilhoist/relay/relay_plan.h"

namespace basilhoist {
namespace {

using nlohmann::ordered_json;

constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr const char* kDefaultRequestId = "explain";

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// A request without a connection. Replies to it are ignored.
class described_exchange : public http_exchange {
 public:
  explicit described_exchange(explain_request request)
      : request_(std::move(request)), path_(PathOf(request_.target)) {}

  const std::string& Method() const override { return request_.method; }
  const std::string& Path() const override { return path_; }
  const std::string& Target() const override { return request_.target; }
  const std::string& Body() const override { return body_; }
  std::string Header(const char* name) const override {
    for (const http_header& header : request_.headers) {
      if (SameHeader(header.name, name)) return header.value;
    }
    return {};
  }
  std::vector<http_header> Headers() const override { return request_.headers; }
  std::string Argument(const char*) const override { return {}; }
  std::string PeerAddress() const override { return {}; }
  bool FirstOnConnection() const override { return true; }
  void OnCallerClosed(std::function<void()>) override {}
  void Reply(http_reply) override {}

 private:
  explain_request request_;
  std::string path_;
  std::string body_;
};

ordered_json Until(instant when, instant now) {
  return when > now ? ordered_json(ToMilliseconds(when - now)) : ordered_json();
}

ordered_json Describe(const server_place& place, instant now) {
  const backend_server& info = place.server->info;
  const replica_candidate& seen = place.candidate;
  ordered_json entry = {{"server", info.id},
                        {"role", Name(place.role)},
                        {"block", Name(place.decision.block)},
                        {"block_ends_in_ms", Until(place.decision.until, now)},
                        {"expected_time", place.expected_time},
                        {"failure_domain", info.failure_domain},
                        {"local", seen.local},
                        {"version", info.version},
                        {"in_flight", seen.health.in_flight},
                        {"slots", seen.slots},
                        {"slowness", seen.health.slowness},
                        {"reported_slowness", seen.reported_slowness},
                        {"failure_share", seen.health.failure_share},
                        {"acceptance", seen.health.acceptance},
                        {"stalled", seen.health.stalled},
                        {"cold", seen.cold},
                        {"missing", seen.missing},
                        {"last_reply_ms_ago", nullptr}};
  if (seen.health.last_reply > instant()) {
    entry["last_reply_ms_ago"] = ToMilliseconds(now - seen.health.last_reply);
  }
  return entry;
}

ordered_json Describe(const usage_preview& preview) {
  const usage_state& state = preview.state;
  return {{"rate_per_s", state.limit.rate_per_s},
          {"burst", state.limit.burst},
          {"granted_left", state.granted_left},
          {"keepers_answer", !state.disconnected},
          {"fallback_share", preview.fallback_share},
          {"basis", Name(preview.decision.basis)},
          {"basis_age_ms", ToMilliseconds(preview.decision.age)},
          {"wait_ms", ToMilliseconds(preview.decision.wait)}};
}

const char* Name(fan_out_admission value) {
  switch (value) {
    case fan_out_admission::kSend:
      return "send";
    case fan_out_admission::kTry:
      return "try_through_others";
    case fan_out_admission::kRefuse:
      return "refuse";
  }
  return "unknown";
}

}  // namespace

struct request_explainer::outcome {
  instant now;
  std::shared_ptr<http_exchange> exchange;
  const route* matched = nullptr;
  authorization caller;
  std::optional<routed_request> request;
  ordered_json checks = ordered_json::array();
  ordered_json decisive;  // the first check that refuses; null if none does
  ordered_json services = ordered_json::array();

  /// @param status of the answer, if the check refuses the request
  void Add(const char* check, bool passed, int status,
           const ordered_json& details = ordered_json::object()) {
    ordered_json entry = {{"check", check}, {"passed", passed}};
    if (!passed) entry["status"] = status;
    entry.update(details);
    if (!passed && decisive.is_null()) decisive = entry;
    checks.push_back(std::move(entry));
  }
};

ordered_json request_explainer::Explain(const explain_request& request,
                                        instant now) const {
  outcome result{.now = now};
  const routing_table_ptr& table = dispatcher_.table;
  ordered_json answer = {{"sent", nullptr},
                         {"decided_by", nullptr},
                         {"route", nullptr},
                         {"workspace", nullptr},
                         {"key", nullptr}};
  if (table) {
    CheckAll(result, request);
  } else {
    result.Add("table", false, kUnavailable, {{"cause", "no_table"}});
  }
  answer["sent"] = result.decisive.is_null();
  answer["decided_by"] = std::move(result.decisive);
  if (result.matched != nullptr) {
    answer["route"] = {{"name", result.matched->name},
                       {"public", result.matched->is_public},
                       {"fans_out", result.matched->FansOut()},
                       {"timeout_ms", result.matched->timeout.count()},
                       {"max_attempts", result.matched->max_attempts}};
  }
  if (result.caller.sender != nullptr) {
    answer["workspace"] = result.caller.sender->name;
  }
  if (!result.caller.key_label.empty()) {
    answer["key"] = result.caller.key_label;
  }
  answer["checks"] = std::move(result.checks);
  answer["handed_over"] = handler_.HandsOver(false);
  answer["services"] = std::move(result.services);
  answer["data"] = {
      {"table_version", table ? table->Version() : 0},
      {"instances", dispatcher_.instance_count},
      {"overload_reports", dispatcher_.admission.reports.Size(now)},
      {"servers_reported_slow", dispatcher_.peer_reports.Size(now)}};
  return answer;
}

// In the order of request_handler::Handle.
void request_explainer::CheckAll(outcome& result,
                                 const explain_request& request) const {
  explain_request described = request;
  const std::string& id = dispatcher_.options.names.request_id;
  // The id has no part in the decisions, so operators need not make one up.
  if (std::none_of(described.headers.begin(), described.headers.end(),
                   [&id](const http_header& header) {
                     return SameHeader(header.name, id);
                   })) {
    described.headers.push_back({.name = id, .value = kDefaultRequestId});
  }
  result.exchange = std::make_shared<described_exchange>(std::move(described));
  result.matched = dispatcher_.table->Find(result.exchange->Header("Host"),
                                           result.exchange->Target());
  CheckHead(result);
  if (result.matched == nullptr) return;
  CheckKey(result);
  CheckCrashes(result);
  CheckUsage(result);
  result.request =
      handler_.Prepare(result.exchange, *result.matched, result.caller);
  CheckShutdown(result);
  CheckAdmission(result);
  if (result.matched->FansOut()) {
    CheckCoverage(result);
    ListShards(result);
  } else {
    ListServices(result);
  }
}

void request_explainer::CheckHead(outcome& result) const {
  const auto refused = handler_.Check(*result.exchange, result.matched);
  if (refused) {
    result.Add("request", false, refused->reply.status,
               {{"cause", refused->cause}});
  } else {
    result.Add("request", true, 0);
  }
}

void request_explainer::CheckKey(outcome& result) const {
  result.caller = handler_.AuthorizationOf(*result.exchange, *result.matched);
  result.Add("api_key",
             result.caller.verdict == authorization_verdict::kAllowed,
             kUnauthorized, {{"cause", Name(result.caller.verdict)}});
}

void request_explainer::CheckCrashes(outcome& result) const {
  const auto refused = handler_.CheckCrashes(*result.exchange, result.caller);
  if (refused) {
    result.Add("crash_guard", false, kUnavailable,
               {{"fingerprint", refused->identity.exact},
                {"path_fingerprint", refused->identity.path}});
  } else {
    result.Add("crash_guard", true, 0);
  }
}

void request_explainer::CheckUsage(outcome& result) const {
  const workspace* sender = result.caller.sender;
  if (handler_.HandsOver(false)) {
    result.Add("usage_limit", true, 0, {{"basis", "counted_by_peer"}});
    return;
  }
  if (sender == nullptr || sender->limit.Unlimited()) {
    result.Add("usage_limit", true, 0,
               {{"basis", Name(usage_basis::kUnlimited)}});
    return;
  }
  const usage_preview preview = usage_.Limiter().Preview(
      *sender, dispatcher_.table->Version(), result.now);
  result.Add("usage_limit", preview.decision.admitted, kTooManyRequests,
             Describe(preview));
}

void request_explainer::CheckShutdown(outcome& result) const {
  result.Add("shutdown", !handler_.ComesTooLate(*result.request), kUnavailable);
}

// With a share of less than 1, chance decides on each request.
void request_explainer::CheckAdmission(outcome& result) const {
  const arriving_request basis =
      DescribeArrival(dispatcher_, *result.request, result.now);
  const admission_cause best = EvaluateArrival(basis, 0);
  const admission_cause worst = EvaluateArrival(basis, std::nextafter(1.0, 0));
  const bool passed = best == admission_cause::kAdmitted;
  result.Add("admission", passed, kUnavailable,
             {{"cause", Name(passed ? best : worst)},
              {"by_chance", best != worst},
              {"share", basis.servers.share},
              {"retry", basis.is_retry},
              {"reports", basis.servers.reports},
              {"newest_report_ms_ago",
               basis.servers.reports == 0
                   ? ordered_json()
                   : ordered_json(ToMilliseconds(basis.servers.age))},
              {"loop_delay_ms", ToMilliseconds(basis.loop_delay)},
              {"deadline_left_ms", ToMilliseconds(basis.deadline_left)}});
}

void request_explainer::CheckCoverage(outcome& result) const {
  const coverage_outlook outlook =
      dispatcher_.OutlookFor(result.matched->shards, result.now);
  const bool has_relays = dispatcher_.relays != nullptr &&
                          !dispatcher_.relays->UsableDomains().empty();
  const fan_out_admission decision =
      DecideAdmission(outlook, result.matched->min_coverage, has_relays);
  result.Add("coverage", decision != fan_out_admission::kRefuse, kUnavailable,
             {{"decision", Name(decision)},
              {"shards", outlook.shards},
              {"without_rate_limit", outlook.unlimited},
              {"sendable", outlook.sendable},
              {"min_coverage", result.matched->min_coverage}});
}

ordered_json request_explainer::ServersOf(const std::string& service,
                                          std::size_t max, instant now) const {
  ordered_json servers = ordered_json::array();
  const std::vector<server_place> places =
      ServersInOrder(dispatcher_, service, now);
  for (const server_place& place : places) {
    if (servers.size() == max) break;
    servers.push_back(Describe(place, now));
  }
  ordered_json entry = {{"service", service}, {"servers", servers}};
  if (servers.size() < places.size()) {
    entry["servers_left_out"] = places.size() - servers.size();
  }
  return entry;
}

void request_explainer::ListServices(outcome& result) const {
  weighted_round_robin rotation = handler_.service_rotation_;
  const std::string next = rotation.Next(*result.matched);
  for (const weighted_service& each : result.matched->services) {
    ordered_json entry = ServersOf(each.service, kMaxServers, result.now);
    entry["weight"] = each.weight;
    entry["next"] = each.service == next;
    entry["crashes_servers"] =
        dispatcher_.crashes.Refuses(result.request->outbound->identity,
                                    crash_guard::ServiceHash(each.service));
    result.services.push_back(std::move(entry));
  }
}

// Relays of a failure domain take turns, and domains with equally many shards
// too, so other relays of these domains may get the request.
void request_explainer::ListShards(outcome& result) const {
  const std::vector<std::string>& shards = result.matched->shards;
  std::vector<std::string> relay_domains(shards.size());
  if (dispatcher_.relays != nullptr) {
    std::vector<shard_location> locations;
    for (const std::string& shard : shards) {
      locations.push_back(
          {.failure_domains = dispatcher_.UsableDomains(shard, result.now)});
    }
    for (const relay_batch& batch :
         PlanRelayBatches(locations, dispatcher_.options.failure_domain,
                          dispatcher_.relays->UsableDomains(), 0)) {
      for (const std::size_t shard : batch.shards) {
        relay_domains[shard] = batch.failure_domain;
      }
    }
  }
  const std::size_t max =
      std::clamp<std::size_t>(kMaxAllServers / shards.size(), 1, kMaxServers);
  for (std::size_t i = 0; i < shards.size(); ++i) {
    ordered_json entry = ServersOf(shards[i], max, result.now);
    if (!relay_domains[i].empty()) entry["relay_domain"] = relay_domains[i];
    entry["crashes_servers"] =
        dispatcher_.crashes.Refuses(result.request->outbound->identity,
                                    crash_guard::ServiceHash(shards[i]));
    result.services.push_back(std::move(entry));
  }
}

}  // namespace basilhoist
