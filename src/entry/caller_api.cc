#include "basilhoist/entry/caller_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "request_parser.h"

namespace basilhoist {
namespace {

using internal::parse_outcome;
using internal::ParseCallerRequest;
using nlohmann::json;

int StatusOf(const query_answer& answer) {
  if (answer.outcome == verdict::kDone) return 200;
  if (answer.why == reason::kDeadlinePassed) return 504;
  if (answer.outcome == verdict::kMayHaveRun) return 502;
  return 503;
}

std::string Quote(std::string_view text) {
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string FormatRefusal(verdict outcome, reason why, std::string_view detail,
                          const std::string& request_id) {
  return json{{"request_id", request_id},
              {"verdict", Name(outcome)},
              {"reason", Name(why)},
              {"detail", detail}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

http_reply ReplyFor(const query_answer& answer, const std::string& request_id) {
  http_reply reply{.status = StatusOf(answer),
                   .body = FormatAnswer(answer, request_id)};
  reply.headers.push_back({"X-Request-Id", request_id});
  if (answer.retry_after_ms > 0) {
    const auto seconds = (answer.retry_after_ms + 999) / 1000;
    reply.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return reply;
}

}  // namespace

// Results of backend servers are JSON already and are put in as they are.
std::string FormatAnswer(const query_answer& answer,
                         const std::string& request_id) {
  std::string text = "{\"request_id\":" + Quote(request_id) +
                     ",\"verdict\":\"" + std::string(Name(answer.outcome)) +
                     "\"";
  if (answer.outcome != verdict::kDone) {
    text += ",\"reason\":\"" + std::string(Name(answer.why)) +
            "\",\"detail\":" + Quote(Describe(answer.why));
  }
  if (answer.retry_after_ms > 0) {
    text += ",\"retry_after_ms\":" + std::to_string(answer.retry_after_ms);
  }
  text +=
      ",\"index_version\":" + std::to_string(answer.index_version) +
      ",\"coverage\":{\"answered\":" + std::to_string(answer.results.size()) +
      ",\"total\":" + std::to_string(answer.total_shards) + ",\"missing\":[";
  for (std::size_t i = 0; i < answer.missing.size(); ++i) {
    const missing_shard& each = answer.missing[i];
    text += std::string(i == 0 ? "" : ",") + "{\"shard\":" + Quote(each.shard) +
            ",\"reason\":\"" + std::string(Name(each.why)) + "\"}";
  }
  text += "]},\"results\":[";
  for (std::size_t i = 0; i < answer.results.size(); ++i) {
    const shard_result& each = answer.results[i];
    text += std::string(i == 0 ? "" : ",") + "{\"shard\":" + Quote(each.shard) +
            ",\"answer\":" + (each.body.empty() ? "null" : each.body) + "}";
  }
  return text + "]}";
}

caller_api::caller_api(entry_task& entry, once_task& once, std::string instance)
    : entry_(entry), once_(once), instance_(std::move(instance)) {}

http_reply caller_api::RefuseHttp(int status, std::string_view text) {
  const reason why = status == 503 ? reason::kOverLimit : reason::kBadRequest;
  return {.status = status,
          .body = FormatRefusal(verdict::kNotRun, why, text, "")};
}

void caller_api::Handle(const std::shared_ptr<http_exchange>& exchange) {
  parse_outcome parsed = ParseCallerRequest(*exchange, entry_);
  caller_request& request = parsed.request;
  if (request.request_id.empty()) {
    request.request_id = instance_ + "-" + std::to_string(++last_request_);
  }
  if (parsed.status != 200) {
    exchange->Reply(
        {.status = parsed.status,
         .body = FormatRefusal(verdict::kNotRun, reason::kBadRequest,
                               parsed.fault, request.request_id)});
    return;
  }
  if (stopped_) {
    query_answer refused{.outcome = verdict::kNotRun,
                         .why = reason::kNotReady,
                         .retry_after_ms = 1000};
    exchange->Reply(ReplyFor(refused, request.request_id));
    return;
  }
  ++in_flight_;
  if (request.kind == operation::kOnce) {
    RunOnce(request, exchange);
  } else {
    RunRequest(request, exchange);
  }
}

void caller_api::RunRequest(const caller_request& request,
                            const std::shared_ptr<http_exchange>& exchange) {
  entry_.Run(request, [this, exchange,
                       id = request.request_id](const query_answer& answer) {
    --in_flight_;
    exchange->Reply(ReplyFor(answer, id));
  });
}

void caller_api::RunOnce(const caller_request& request,
                         const std::shared_ptr<http_exchange>& exchange) {
  const std::string id = request.request_id;
  const auto format = [id](const query_answer& answer) {
    return FormatAnswer(answer, id);
  };
  once_.Run(request, format, [this, exchange, id](const once_answer& answer) {
    --in_flight_;
    if (!answer.recorded) {
      exchange->Reply(ReplyFor(answer.answer, id));
      return;
    }
    http_reply reply{.body = answer.body};
    reply.headers = {{"X-Request-Id", id}, {"X-Recorded-Outcome", "1"}};
    exchange->Reply(std::move(reply));
  });
}

}  // namespace basilhoist
