#include "basilhoist/explain/explain_endpoint.h"

#include <nlohmann/json.hpp>

namespace basilhoist {
namespace {

using nlohmann::ordered_json;

constexpr int kBadRequest = 400;
constexpr int kMethodNotAllowed = 405;

http_reply FaultReply(int status, const explain_fault& fault) {
  return {
      .status = status,
      .body =
          ordered_json{
              {"error", {{"field", fault.field}, {"message", fault.message}}}}
              .dump()};
}

std::optional<microseconds> AgeOf(instant when, instant now) {
  if (when == instant()) return std::nullopt;
  return now - when;
}

ordered_json Age(const std::optional<microseconds>& age) {
  return age ? ordered_json(ToMilliseconds(*age)) : ordered_json();
}

}  // namespace

std::vector<feed_age> FeedAges(
    const std::vector<std::unique_ptr<object_feed>>& feeds, instant now) {
  std::vector<feed_age> ages;
  for (const auto& feed : feeds) {
    const feed_state& state = feed->State();
    ages.push_back({.kind = feed->Kind(),
                    .era = state.Snapshot().era,
                    .revision = state.Snapshot().revision,
                    .known = state.HasSnapshot(),
                    .follows_store = feed->FollowsStore(),
                    .store_answers = state.Healthy(),
                    .confirmed = AgeOf(state.LastConfirmed(), now),
                    .adopted = AgeOf(state.LastAdopted(), now)});
  }
  return ages;
}

http_reply AnswerExplain(const http_exchange& exchange,
                         const request_explainer& explainer,
                         const std::vector<feed_age>& feeds) {
  if (exchange.Method() != "POST") {
    return FaultReply(kMethodNotAllowed,
                      {.field = "method", .message = "must be POST"});
  }
  const auto parsed = ParseExplainRequest(exchange.Body());
  if (const auto* fault = std::get_if<explain_fault>(&parsed)) {
    return FaultReply(kBadRequest, *fault);
  }
  ordered_json answer =
      explainer.Explain(std::get<explain_request>(parsed), Now());
  ordered_json list = ordered_json::array();
  for (const feed_age& each : feeds) {
    list.push_back({{"kind", each.kind},
                    {"known", each.known},
                    {"era", each.era},
                    {"revision", each.revision},
                    {"follows_store", each.follows_store},
                    {"store_answers", each.store_answers},
                    {"confirmed_ms_ago", Age(each.confirmed)},
                    {"adopted_ms_ago", Age(each.adopted)}});
  }
  answer["data"]["feeds"] = std::move(list);
  return {.body = answer.dump(-1, ' ', false,
                              ordered_json::error_handler_t::replace)};
}

}  // namespace basilhoist
