#include "backend_protocol.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace basilhoist::internal {
namespace {

// The server gives a request up at its deadline. Only some time after that
// is its silence taken for a failure.
constexpr milliseconds kTimeoutGrace{100};

std::uint64_t Number(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

void ReadNoAnswer(http_result& result, backend_reply& read) {
  subreply& reply = read.reply;
  reply.why = reason::kServerFailed;
  reply.outcome = result.Sent() ? verdict::kMayHaveRun : verdict::kNotRun;
  if (result.ConnectFailed()) {
    read.end = attempt_end::kRefused;
  } else if (!result.Sent()) {
    read.end = attempt_end::kUnsent;
  } else if (result.TimedOut()) {
    read.end = attempt_end::kTimedOut;
  } else {
    read.end = attempt_end::kLost;
  }
}

// Statuses other than 200. "X-Not-Run: 1" is the server's word that it has
// not run the request and will not.
void ReadRefusal(http_result& result, backend_reply& read) {
  subreply& reply = read.reply;
  const bool not_run = result.Header("X-Not-Run") == "1";
  reply.outcome = not_run ? verdict::kNotRun : verdict::kMayHaveRun;
  reply.retry_after_ms =
      static_cast<std::uint32_t>(Number(result.Header("X-Retry-After-Ms")));
  switch (result.Status()) {
    case 410:
      read.end = attempt_end::kCancelled;
      reply.why = reason::kVersionGone;
      break;
    case 499:
      read.end = attempt_end::kCancelled;
      reply.why = reason::kCancelled;
      break;
    case 503:
      read.end = read.draining ? attempt_end::kCancelled : attempt_end::kShed;
      reply.why = read.draining ? reason::kDraining : reason::kOverLimit;
      break;
    case 504:
      read.end = attempt_end::kCancelled;
      reply.why = reason::kDeadlinePassed;
      break;
    default:
      read.end = attempt_end::kCancelled;
      reply.why = reason::kServerFailed;
      break;
  }
}

}  // namespace

std::string BackendRequestId(const subrequest& request,
                             const request_payload& payload) {
  return payload.request_id + "." + std::to_string(request.id);
}

http_call MakeRunCall(const backend_server& server, const subrequest& request,
                      const request_payload& payload, microseconds time_left) {
  const auto left_ms = std::max<std::int64_t>(1, time_left.count() / 1000);
  http_call call{.method = "POST",
                 .url = "http://" + Format(server.where) + "/run",
                 .body = payload.body,
                 .timeout = milliseconds(left_ms) + kTimeoutGrace};
  call.headers = {"X-Request-Id: " + BackendRequestId(request, payload),
                  "X-Shard: " + request.shard,
                  "X-Index-Version: " + std::to_string(request.version),
                  "X-Deadline-Ms: " + std::to_string(left_ms),
                  "Content-Type: application/json",
                  "Expect:"};
  if (payload.kind == operation::kOnce) call.headers.emplace_back("X-Once: 1");
  return call;
}

http_call MakeCancelCall(const backend_server& server,
                         const std::string& request_id) {
  return {.method = "DELETE",
          .url = "http://" + Format(server.where) + "/run/" + request_id,
          .timeout = kTimeoutGrace};
}

backend_reply ReadBackendReply(http_result& result, const subrequest& request,
                               const request_payload& payload) {
  backend_reply read;
  subreply& reply = read.reply;
  if (!result.HasReply()) {
    ReadNoAnswer(result, read);
    return read;
  }
  read.incarnation = result.Header("X-Incarnation");
  read.draining = result.Header("X-Draining") == "1";
  reply.shard = result.Header("X-Shard");
  reply.version = Number(result.Header("X-Index-Version"));
  reply.oldest_version = Number(result.Header("X-Oldest-Version"));
  reply.newest_version = Number(result.Header("X-Newest-Version"));
  const bool ours =
      result.Header("X-Request-Id") == BackendRequestId(request, payload) &&
      reply.shard == request.shard;
  if (!ours) {
    reply.outcome = verdict::kMayHaveRun;
    reply.why = reason::kServerFailed;
    return read;
  }
  if (result.Status() != 200) {
    ReadRefusal(result, read);
    return read;
  }
  read.end = attempt_end::kAnswered;
  reply.outcome = verdict::kDone;
  reply.body = std::move(result.Body());
  return read;
}

}  // namespace basilhoist::internal
