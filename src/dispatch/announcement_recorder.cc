#include "basilhoist/dispatch/announcement_recorder.h"

#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
// Length to which a header of a server is cut in a log line.
constexpr std::size_t kMaxLoggedHeader = 32;

}  // namespace

void announcement_recorder::OnReply(const listed_server& server,
                                    const backend_reply& reply,
                                    const std::string& request_id,
                                    instant sent_at, instant now) {
  // A reply of another server at the same address (status 421) does not
  // describe this one.
  if (reply.error != exchange_error::kNone || reply.status == kMisdirected) {
    return;
  }
  RecordRateLimit(server, reply, request_id, sent_at, now);
  RecordShutdown(server, reply, request_id, now);
  RecordPause(server, reply, request_id, now);
}

void announcement_recorder::RecordRateLimit(const listed_server& server,
                                            const backend_reply& reply,
                                            const std::string& request_id,
                                            instant sent_at, instant now) {
  server_rate_limits& limits = targets_.rate_limits;
  const std::string* stated = reply.Header(names_.rate_limit);
  if (stated == nullptr) {
    if (limits.OnNotAdvertised(server.incarnation, sent_at, now)) {
      event_line("call", "server_limit_ended")
          .With("server", server.info.id)
          .With("request", request_id);
    }
    return;
  }
  const auto rate = ParseRateLimit(*stated);
  const bool known = limits.RateOf(server.incarnation, now).has_value();
  const bool changed =
      rate && limits.OnAdvertised(server.incarnation, rate->per_s, now);
  if (changed && !known) {
    targets_.limited_sends.Exhaust(server.incarnation, now);
  }
  if (rate && !changed) return;
  event_line("call", "server_limits_rate")
      .With("server", server.info.id)
      .With("request", request_id)
      .With("stated", stated->substr(0, kMaxLoggedHeader))
      .With("doubtful", !rate || rate->adjusted)
      .With("per_s", rate ? rate->per_s : 0);
}

void announcement_recorder::RecordShutdown(const listed_server& server,
                                           const backend_reply& reply,
                                           const std::string& request_id,
                                           instant now) {
  const std::string* shutting_down = reply.Header(names_.shutting_down);
  if (shutting_down != nullptr && *shutting_down == "1" &&
      targets_.notices.OnShuttingDown(server.incarnation, now)) {
    event_line("call", "server_leaves")
        .With("server", server.info.id)
        .With("run", server.incarnation)
        .With("request", request_id);
  }
}

void announcement_recorder::RecordPause(const listed_server& server,
                                        const backend_reply& reply,
                                        const std::string& request_id,
                                        instant now) {
  const std::string* retry_after =
      reply.status == kUnavailable ? reply.Header(names_.retry_after) : nullptr;
  if (retry_after == nullptr) {
    targets_.notices.OnAccepted(server.incarnation);
    return;
  }
  const advertised_wait advertised = ParseRetryAfter(*retry_after);
  targets_.notices.OnPauseRequested(server.incarnation, advertised.wait, now);
  targets_.pace.OnPauseRequested(server, now);
  event_line("call", "server_asks_quiet")
      .With("server", server.info.id)
      .With("request", request_id)
      .With("stated", retry_after->substr(0, kMaxLoggedHeader))
      .With("doubtful", advertised.adjusted)
      .With("wait_ms", advertised.wait.count());
}

void announcement_recorder::OnRelayedNotice(const server_notice& notice,
                                            const std::string& request_id,
                                            instant now) {
  if (!targets_.notices.OnRelayedNotice(notice, now)) return;
  event_line("call", "server_leaves")
      .With("run", notice.run)
      .With("source", "relay")
      .With("request", request_id);
}

void announcement_recorder::OnRelayedLimit(const rate_limit_report& limit,
                                           instant now) {
  if (targets_.rate_limits.OnRelayed(limit, now)) {
    targets_.limited_sends.Exhaust(limit.run, now);
  }
}

}  // namespace basilhoist
