#include "basilhoist/dispatch/sends_in_flight.h"

#include <algorithm>
#include <utility>

#include "basilhoist/dispatch/reply_check.h"

namespace basilhoist {
namespace {

// What is needed to record a reply after the call has ended.
struct sent_request {
  listed_server_ptr server;
  std::uint64_t stats_key = 0;
  bool extra = false;
  instant sent_at;
  microseconds expected{0};
  lost_send lost;
  std::shared_ptr<const outbound_request> request;
};

// Maps the outcome of a send to its effect on the statistics of the server.
send_result SendResultFor(send_outcome outcome, const backend_reply& reply) {
  switch (outcome) {
    case send_outcome::kAnswer:
      return send_result::kReplied;
    case send_outcome::kShed:
      return send_result::kShed;
    case send_outcome::kWrongServer:
    case send_outcome::kNeverSent:
      return send_result::kConnectionBroken;
    case send_outcome::kServerFailure:
      return send_result::kFailed;
    case send_outcome::kUnclear:
      return reply.error == exchange_error::kBroken
                 ? send_result::kConnectionBroken
                 : send_result::kFailed;
  }
  return send_result::kFailed;
}

void RecordReply(dispatcher& dispatch, const sent_request& sent,
                 const backend_reply& reply) {
  const outbound_request& request = *sent.request;
  const auto outcome = ClassifyReply(reply, dispatch.options.names);
  dispatch.RecordResult(*sent.server, sent.stats_key,
                        {.result = SendResultFor(outcome, reply),
                         .sent_at = sent.sent_at,
                         .expected = sent.expected},
                        Now());
  dispatch.RecordVersionResult(*sent.server, outcome, reply,
                               crash_guard::ServiceHash(request.route_name),
                               sent.sent_at);
  if (outcome == send_outcome::kAnswer) {
    request.answers->services.push_back(sent.lost.service);
    dispatch.crashes.OnAnswer(sent.lost.identity, sent.lost.service, Now());
  }
  dispatch.RecordNotices(*sent.server, reply, request.request_id, sent.sent_at,
                         Now());
  dispatch.OnSendEnd(sent.server, sent.lost, reply, Now());
  if (outcome == send_outcome::kAnswer ||
      outcome == send_outcome::kServerFailure) {
    dispatch.admission.loads.OnSendEnd(sent.lost.service, Now() - sent.sent_at,
                                       Now());
  }
  if (outcome == send_outcome::kAnswer && !sent.extra) {
    dispatch.route_latencies[request.route_name].Add(Now() - sent.sent_at);
  }
}

}  // namespace

sends_in_flight::sends_in_flight(
    dispatcher& the_dispatcher, std::shared_ptr<const outbound_request> request,
    const std::string& service)
    : dispatcher_(the_dispatcher),
      request_(std::move(request)),
      service_(service),
      service_hash_(crash_guard::ServiceHash(service)) {}

void sends_in_flight::Send(const listed_server_ptr& server,
                           std::uint64_t number, bool extra,
                           reply_handler on_reply) {
  const instant now = Now();
  const microseconds typical = TypicalLatency();
  dispatcher_.OnSent(*server, extra, now);
  // Send keys must be unique within the statistics of a server.
  const std::uint64_t send_key = dispatcher_.counts.sends;
  dispatcher_.stats.OnSent(server->key, send_key, typical, now);
  sent_request sent{.server = server,
                    .stats_key = send_key,
                    .extra = extra,
                    .sent_at = now,
                    .expected = typical,
                    .lost = LostSendAt(*server),
                    .request = request_};
  // An idle connection may turn out to be broken after the send, which leaves
  // unknown whether the request ran. Requests that are not idempotent therefore
  // use a fresh connection.
  const bool fresh_connection = !request_->idempotent;
  const std::uint64_t id = dispatcher_.sender.Send(
      *server, dispatcher_.MaxConnections(service_), fresh_connection,
      {.head = RequestHead(*server),
       .body = request_->body,
       .is_head_method = request_->is_head_method,
       .echo_header = dispatcher_.options.names.request_id,
       .echo_value = request_->request_id},
      [dispatch = &dispatcher_, sent = std::move(sent),
       on_reply = std::move(on_reply)](backend_reply reply) {
        RecordReply(*dispatch, sent, reply);
        on_reply(std::move(reply));
      });
  pending_.push_back({.number = number,
                      .id = id,
                      .server = server,
                      .stats_key = send_key,
                      .extra = extra,
                      .sent_at = now});
}

std::optional<pending_send> sends_in_flight::Remove(std::uint64_t number) {
  const auto at = std::ranges::find(pending_, number, &pending_send::number);
  if (at == pending_.end()) return std::nullopt;
  pending_send ended = std::move(*at);
  pending_.erase(at);
  return ended;
}

void sends_in_flight::AbandonAll() {
  for (const pending_send& pending : pending_) Abandon(pending);
  pending_.clear();
}

void sends_in_flight::Abandon(const pending_send& pending) {
  const instant now = Now();
  ReportOverdue(pending);
  dispatcher_.sender.Abandon(pending.id);
  const server_health health =
      dispatcher_.stats.HealthOf(pending.server->key, now);
  if (health.last_reply > pending.sent_at) {
    dispatcher_.admission.loads.OnSendEnd(service_hash_, now - pending.sent_at,
                                          now);
  }
  dispatcher_.RecordResult(*pending.server, pending.stats_key,
                           {.result = send_result::kAbandoned,
                            .sent_at = pending.sent_at,
                            .expected = TypicalLatency()},
                           now);
  if (now - pending.sent_at >= kLinger) {
    dispatcher_.RecordUnanswered(*pending.server,
                                 crash_guard::ServiceHash(request_->route_name),
                                 pending.sent_at);
  }
  // If the server's host terminates with the server, the connection does not
  // break. A send without a reply for this time therefore counts as lost.
  if (now - pending.sent_at >= kLinger) {
    dispatcher_.crashes.OnLost(LostSendAt(*pending.server), now);
  }
}

void sends_in_flight::ReportOverdue(const pending_send& pending) const {
  dispatcher_.isolation.OnOverdue(*pending.server, pending.sent_at);
}

microseconds sends_in_flight::OldestAge(instant now) const {
  return pending_.empty() ? microseconds(0) : now - pending_.front().sent_at;
}

microseconds sends_in_flight::TypicalLatency() const {
  return dispatcher_.route_latencies[request_->route_name].TypicalLatency(
      request_->objective);
}

lost_send sends_in_flight::LostSendAt(const listed_server& server) const {
  return {.identity = request_->identity,
          .service = service_hash_,
          .incarnation = server.incarnation,
          .answers = request_->answers};
}

std::string sends_in_flight::RequestHead(const listed_server& server) const {
  const header_names& names = dispatcher_.options.names;
  const auto time_left =
      std::chrono::duration_cast<milliseconds>(request_->deadline - Now());
  std::string head;
  head.reserve(request_->head.size() + 128);
  head += request_->head;
  head += names.target_server + ": " + server.info.id + "\r\n";
  head += names.timeout_ms + ": " +
          std::to_string(std::max<std::int64_t>(1, time_left.count())) +
          "\r\n\r\n";
  return head;
}

}  // namespace basilhoist
