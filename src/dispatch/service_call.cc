#include "basilhoist/dispatch/service_call.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "basilhoist/dispatch/replica_choice.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// A server without a free connection, or one that shed, is worth waiting for
// so long; another one that is avoided longer is not.
constexpr milliseconds kShortWait{30};
constexpr milliseconds kPoll{3};
// A send whose reply is needed no more may end by itself for so long, which
// keeps its connection; then it is cut.
constexpr milliseconds kLinger{250};
// Sends of one call, whatever became of them.
constexpr unsigned kMostSends = 5;
// Told to callers where nothing is known of a server's return.
constexpr milliseconds kDefaultRetryAfter{300};

send_result EndOf(send_outcome outcome, const backend_reply& reply) {
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
      return reply.fault == exchange_fault::kBroken
                 ? send_result::kConnectionBroken
                 : send_result::kFailed;
  }
  return send_result::kFailed;
}

}  // namespace

service_call::service_call(dispatcher& shared,
                           std::shared_ptr<const outbound_request> request,
                           std::string service, done_handler done)
    : shared_(shared),
      request_(std::move(request)),
      service_(std::move(service)),
      service_hash_(crash_guard::ServiceHash(service_)),
      done_(std::move(done)) {}

void service_call::Start() {
  shared_.budgets[service_].OnRequest(Now(), shared_.options.retry.window);
  Continue();
}

void service_call::StartAfterRelayLoss() {
  reached_ = true;
  Continue();
}

void service_call::Cancel() {
  finished_ = true;
  done_ = nullptr;
  shared_.loop.Cancel(second_timer_);
  shared_.loop.Cancel(retry_timer_);
  for (const send& each : in_flight_) Drop(each);
  in_flight_.clear();
}

microseconds service_call::OldestSendAge(instant now) const {
  return in_flight_.empty() ? microseconds(0) : now - in_flight_.front().since;
}

void service_call::Detach() {
  if (finished_) return;
  finished_ = true;
  Linger();
  done_ = nullptr;
}

bool service_call::MaySendMore() const {
  return sends_ < kMostSends && tried_.size() < request_->max_attempts &&
         Now() + kPoll < request_->deadline;
}

std::vector<listed_server_ptr> service_call::Candidates() const {
  std::vector<listed_server_ptr> usable;
  for (const listed_server_ptr& each : shared_.directory.Of(service_)) {
    if (shared_.directory.MayUse(*each)) usable.push_back(each);
  }
  const std::size_t most = request_->max_attempts;
  if (request_->relay_domain.empty() || usable.size() <= most) return usable;
  const auto order = [this](const listed_server_ptr& server) {
    const bool far = server->info.failure_domain != request_->relay_domain;
    const std::string& id = request_->request_id;
    return std::pair(far, XXH64(id.data(), id.size(), server->run));
  };
  std::sort(
      usable.begin(), usable.end(),
      [&order](const listed_server_ptr& left, const listed_server_ptr& right) {
        return order(left) < order(right);
      });
  usable.resize(most);
  return usable;
}

lost_send service_call::LostAt(const listed_server& server) const {
  return {.identity = request_->identity,
          .service = service_hash_,
          .incarnation = server.run,
          .answers = request_->answers};
}

void service_call::OnBarred(const send_decision& verdict, instant now) {
  const auto bar = static_cast<std::size_t>(verdict.block);
  ++bars_.at(bar);
  ++shared_.counts.blocked.at(bar);
  if (!verdict.IsTemporary(now)) return;
  soonest_ = soonest_ > now ? std::min(soonest_, verdict.until) : verdict.until;
}

service_call::attempt service_call::TrySend() {
  if (!MaySendMore()) return attempt::kNever;
  // Asked at each send: other servers may have ended since the request came.
  if (shared_.crashes.Refuses(request_->identity, service_hash_)) {
    ++shared_.counts.contained;
    last_.contained = true;
    return attempt::kNever;
  }
  const instant now = Now();
  const unsigned connections = shared_.MaxConnections(service_);
  std::vector<replica_candidate> replicas;
  std::vector<listed_server_ptr> servers;
  soonest_ = {};
  bars_ = {};
  for (const listed_server_ptr& each : Candidates()) {
    if (tried_.contains(each->key)) continue;
    const send_decision verdict = shared_.Evaluate(*each, connections, now);
    if (!verdict.Allowed()) {
      OnBarred(verdict, now);
      continue;
    }
    servers.push_back(each);
    replicas.push_back(
        {.health = shared_.stats.HealthOf(each->key, now),
         .slots = each->info.slots,
         .cold = now < each->cold_until,
         .missing = each->missing,
         .local = each->info.failure_domain == shared_.options.failure_domain});
  }
  const double tie =
      static_cast<double>(shared_.random()) / static_cast<double>(pcg32::max());
  const auto chosen = ChooseReplica(replicas, tie);
  if (!chosen) return soonest_ > now ? attempt::kLater : attempt::kNever;
  if (reached_ && !shared_.budgets[service_].Spend(
                      shared_.RetryLimits(now), shared_.instance_share, now)) {
    ++shared_.counts.budget_refusals;
    return attempt::kNever;
  }
  SendTo(servers[*chosen], reached_);
  return attempt::kSent;
}

std::string service_call::HeadFor(const listed_server& server) const {
  const header_names& names = shared_.options.names;
  const auto left =
      std::chrono::duration_cast<milliseconds>(request_->deadline - Now());
  std::string head;
  head.reserve(request_->head.size() + 128);
  head += request_->head;
  head += names.target_server + ": " + server.info.id + "\r\n";
  head += names.timeout_ms + ": " +
          std::to_string(std::max<std::int64_t>(1, left.count())) + "\r\n\r\n";
  return head;
}

void service_call::SendTo(const listed_server_ptr& server, bool extra) {
  const instant now = Now();
  const std::uint64_t number = ++sends_;
  ++shared_.counts.sends;
  const std::uint64_t key = server->key;
  const auto usual =
      shared_.route_latencies[request_->route_name].TypicalLatency(
          request_->objective);
  // Keys of sends must be unique in the statistics of a server.
  const std::uint64_t send_key = shared_.counts.sends;
  shared_.stats.OnSent(key, send_key, usual, now);
  shared_.cold.OnSent(key, now);
  shared_.notices.OnSent(server->run, now);
  dispatcher* shared = &shared_;
  const auto on_reply = [weak = weak_from_this(), shared, server, key, send_key,
                         number, extra, now, lost = LostAt(*server),
                         request = request_](backend_reply reply) {
    const auto outcome = ClassifyReply(reply, shared->options.names);
    shared->stats.OnEnd(key, send_key, EndOf(outcome, reply), Now());
    if (outcome == send_outcome::kAnswer) {
      request->answers->services.push_back(lost.service);
      shared->crashes.OnAnswer(lost.identity, lost.service, Now());
    }
    shared->RecordNotices(*server, reply, request->request_id, Now());
    shared->OnSendEnd(server, lost, reply, Now());
    if (outcome == send_outcome::kAnswer && !extra) {
      shared->route_latencies[request->route_name].Add(Now() - now);
    }
    if (const auto self = weak.lock()) {
      self->OnSendEnd(number, std::move(reply));
    }
  };
  // A connection that was idle may turn out dead after the send; then it is
  // not known whether the request ran.
  const bool fresh = !request_->idempotent;
  const std::uint64_t id =
      shared_.sender.Send(*server, shared_.MaxConnections(service_), fresh,
                          {.head = HeadFor(*server),
                           .body = request_->body,
                           .is_head_method = request_->is_head_method,
                           .echo_header = shared_.options.names.request_id,
                           .echo_value = request_->request_id},
                          on_reply);
  in_flight_.push_back({.number = number,
                        .id = id,
                        .server = server,
                        .stats_key = send_key,
                        .extra = extra,
                        .since = now});
  tried_.insert(key);
  reached_ = true;
  if (in_flight_.size() == 1) ArmSecondSend();
}

void service_call::ArmSecondSend() {
  if (!request_->idempotent || request_->max_attempts < 2) return;
  const instant now = Now();
  const double pressure = shared_.budgets[service_].Utilization(
      shared_.RetryLimits(now), shared_.instance_share, now);
  const auto delay = shared_.route_latencies[request_->route_name].HedgeDelay(
      request_->objective, request_->objective_at - now, pressure);
  shared_.loop.Cancel(second_timer_);
  second_timer_ = shared_.loop.After(delay, [self = shared_from_this()] {
    self->second_timer_ = 0;
    self->OnSecondSendDue();
  });
}

void service_call::OnSecondSendDue() {
  if (finished_ || in_flight_.size() != 1) return;
  if (TrySend() == attempt::kSent) ++shared_.counts.hedged_sends;
}

void service_call::OnSendEnd(std::uint64_t number, backend_reply reply) {
  const auto at = std::find_if(
      in_flight_.begin(), in_flight_.end(),
      [number](const send& each) { return each.number == number; });
  if (finished_ || at == in_flight_.end()) return;
  const send ended = *at;
  in_flight_.erase(at);
  const auto outcome = ClassifyReply(reply, shared_.options.names);
  if (outcome == send_outcome::kAnswer) {
    answered_ = true;
    Finish({.outcome = outcome, .reply = std::move(reply)});
    return;
  }
  event_line("call", "send_failed")
      .With("request", request_->request_id)
      .With("service", service_)
      .With("server", ended.server->info.id)
      .With("outcome", Name(outcome))
      .With("fault", Name(reply.fault))
      .With("status", reply.status)
      .With("fingerprint", request_->identity.exact)
      .With("path_fingerprint", request_->identity.path)
      .With("after_ms", ToMilliseconds(Now() - ended.since));
  if (IsKnownNotExecuted(outcome)) {
    tried_.erase(ended.server->key);
    if (outcome == send_outcome::kNeverSent && ended.extra) {
      shared_.budgets[service_].Refund();
    }
    if (outcome == send_outcome::kNeverSent && in_flight_.empty() &&
        tried_.empty()) {
      // No server was reached, so the next send is the first again.
      reached_ = false;
    }
  } else {
    last_.may_have_run = true;
  }
  last_.outcome = outcome;
  last_.reply = std::move(reply);
  Continue();
}

void service_call::Continue() {
  if (finished_ || !in_flight_.empty()) return;
  const bool may_repeat = request_->idempotent || !last_.may_have_run;
  if (!may_repeat) {
    Finish(std::move(last_));
    return;
  }
  const bool retry = sends_ > 0;
  switch (TrySend()) {
    case attempt::kSent:
      if (retry) ++shared_.counts.retries;
      return;
    case attempt::kLater:
      if (soonest_ - Now() <= kShortWait) {
        retry_timer_ = shared_.loop.At(soonest_, [self = shared_from_this()] {
          self->retry_timer_ = 0;
          self->Continue();
        });
        return;
      }
      last_.retry_after = soonest_ - Now();
      break;
    case attempt::kNever:
      last_.retry_after = last_.contained
                              ? microseconds(crash_guard::kRetention)
                              : kDefaultRetryAfter;
      break;
  }
  LogNotSent();
  Finish(std::move(last_));
}

// What kept the request from each server that it has not been sent to.
void service_call::LogNotSent() const {
  nlohmann::ordered_json bars;
  for (std::size_t i = 0; i < bars_.size(); ++i) {
    if (bars_[i] > 0)
      bars[std::string(Name(static_cast<send_block>(i)))] = bars_[i];
  }
  if (bars.empty()) return;
  event_line("call", "not_sent")
      .With("request", request_->request_id)
      .With("service", service_)
      .With("servers", bars)
      .With("retry_after_ms", ToMilliseconds(last_.retry_after));
}

void service_call::Finish(call_result result) {
  finished_ = true;
  result.sends = sends_;
  Linger();
  const auto done = std::move(done_);
  done(std::move(result));
}

void service_call::Linger() {
  shared_.loop.Cancel(second_timer_);
  shared_.loop.Cancel(retry_timer_);
  if (in_flight_.empty()) return;
  shared_.loop.After(kLinger, [self = shared_from_this()] {
    for (const send& each : self->in_flight_) self->Drop(each);
    self->in_flight_.clear();
  });
}

void service_call::Drop(const send& each) {
  const instant now = Now();
  shared_.sender.Abandon(each.id);
  shared_.stats.OnEnd(each.server->key, each.stats_key, send_result::kAbandoned,
                      now);
  // The host of a server may have ended with it, and nothing broke then.
  if (now - each.since >= kLinger)
    shared_.crashes.OnLost(LostAt(*each.server), now);
}

}  // namespace basilhoist
