#include "basilhoist/dispatch/service_call.h"

#include <algorithm>
#include <utility>

#include "basilhoist/dispatch/hedge_policy.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Nothing is sent if less time than this is left until the deadline.
constexpr milliseconds kMinTimeLeft{3};
// Limit on the sends of one call that were not rejected, whatever their
// outcome.
constexpr unsigned kMaxSends = 5;
// Limit on its rejected sends, so that a call whose servers are full does not
// spend the retry budget of others. At servers that reject 80% at random, 0.5%
// of the calls reach it.
constexpr unsigned kMaxRejections = 24;
// Delay until a hedged send is tried again that was not possible.
constexpr milliseconds kMinHedgeRetry{10};
// A single request is refused if the chance that a server accepts it before its
// objective is lower: its caller has a better chance elsewhere.
constexpr double kMinAcceptanceChance = 0.5;
// Retry time if it is unknown when a server will be available again.
constexpr milliseconds kDefaultRetryAfter{300};

}  // namespace

service_call::service_call(dispatcher& the_dispatcher,
                           std::shared_ptr<const outbound_request> request,
                           std::string service, done_handler done)
    : dispatcher_(the_dispatcher),
      request_(std::move(request)),
      service_(std::move(service)),
      service_hash_(crash_guard::ServiceHash(service_)),
      done_(std::move(done)),
      in_flight_(dispatcher_, request_, service_),
      retries_(request_->deadline) {}

void service_call::Start() {
  dispatcher_.budgets[service_].OnRequest(Now(),
                                          dispatcher_.options.retry.window);
  dispatcher_.pace.OnRequest(service_, Now());
  if (dispatcher_.rollouts != nullptr) {
    dispatcher_.rollouts->OnRequest(service_);
  }
  SendOrFinish();
}

void service_call::StartAfterRelayLoss() {
  reached_ = true;
  SendOrFinish();
}

void service_call::Cancel() {
  CountLate();
  finished_ = true;
  done_ = nullptr;
  dispatcher_.loop.Cancel(hedge_timer_);
  dispatcher_.loop.Cancel(retry_timer_);
  in_flight_.AbandonAll();
}

void service_call::Detach() {
  if (finished_) return;
  CountLate();
  finished_ = true;
  AbandonAfterLinger();
  done_ = nullptr;
}

bool service_call::MaySend() {
  if (sends_ - retries_.Rejections() >= kMaxSends ||
      retries_.Rejections() >= kMaxRejections ||
      tried_.size() >= request_->max_attempts ||
      Now() + kMinTimeLeft >= request_->deadline) {
    return false;
  }
  if (!KeyIsValid()) {
    ++dispatcher_.counts.revoked;
    return false;
  }
  // Checked at each send, because servers may have crashed on the request since
  // it arrived.
  if (dispatcher_.crashes.Refuses(request_->identity, service_hash_)) {
    ++dispatcher_.counts.contained;
    last_result_.contained = true;
    return false;
  }
  return true;
}

std::vector<listed_server_ptr> service_call::UsableServers() const {
  std::vector<listed_server_ptr> usable;
  for (const listed_server_ptr& server :
       dispatcher_.directory.ServersOf(service_)) {
    if (dispatcher_.directory.MayUse(*server) &&
        dispatcher_.MayUseVersion(*server)) {
      usable.push_back(server);
    }
  }
  return usable;
}

std::vector<listed_server_ptr> service_call::CandidateServers() const {
  return RelayCandidates(UsableServers(), tried_,
                         {.part = request_->part,
                          .relay_domain = request_->relay_domain,
                          .request_id = request_->request_id,
                          .max_servers = request_->max_attempts});
}

// A relay and its sender agree on the servers that may run the request. A relay
// may use one that is not reserved for the sender, if some are.
bool service_call::MayJudgeVersion() const {
  if (request_->part == relay_part::kNone) return true;
  return request_->part == relay_part::kRelay && request_->max_attempts > 1 &&
         UsableServers().size() > request_->max_attempts;
}

bool service_call::KeyIsValid() const {
  if (!request_->api_key) return true;
  const workspace_directory_ptr& workspaces = dispatcher_.table->Workspaces();
  if (!workspaces) return true;
  const workspace* holder = workspaces->FindByDigest(*request_->api_key);
  return holder != nullptr && holder->name == request_->workspace;
}

void service_call::FindReplicas(std::vector<listed_server_ptr>& servers,
                                std::vector<replica_candidate>& replicas,
                                instant now) {
  const unsigned connections = dispatcher_.MaxConnections(service_);
  std::vector<listed_server_ptr> paced;
  retries_.BeginAttempt();
  if (!reached_ && MayJudgeVersion()) {
    if (const auto judged =
            dispatcher_.ServerToJudge(service_, connections, now)) {
      servers.push_back(judged);
      replicas.push_back(dispatcher_.CandidateFor(*judged, now));
      return;
    }
  }
  for (const listed_server_ptr& server : CandidateServers()) {
    if (tried_.contains(server->key)) continue;
    if (retries_.MustWait(server->key, now)) continue;
    const send_decision decision =
        dispatcher_.Evaluate(*server, connections, now);
    if (!decision.Allowed()) {
      retries_.OnBlocked(decision, now);
      ++dispatcher_.counts.blocked.at(static_cast<std::size_t>(decision.block));
      if (decision.AllowedAsLastResort()) paced.push_back(server);
      continue;
    }
    servers.push_back(server);
  }
  // A request is not refused for the sake of a server's pace. A hedged send can
  // wait.
  if (servers.empty() && in_flight_.Empty()) servers = std::move(paced);
  for (const listed_server_ptr& server : servers) {
    replicas.push_back(dispatcher_.CandidateFor(*server, now));
  }
}

service_call::send_attempt service_call::TrySend(send_kind kind) {
  if (!MaySend()) return send_attempt::kNotPossible;
  const instant now = Now();
  std::vector<replica_candidate> replicas;
  std::vector<listed_server_ptr> servers;
  FindReplicas(servers, replicas, now);
  const double tie = static_cast<double>(dispatcher_.random()) /
                     static_cast<double>(pcg32::max());
  const auto chosen = ChooseReplica(replicas, tie);
  if (!chosen) {
    return retries_.HasLaterChance(now) ? send_attempt::kRetryLater
                                        : send_attempt::kNotPossible;
  }
  if (kind == send_kind::kHedged && !IsWorthHedging(replicas[*chosen])) {
    ++dispatcher_.counts.hedges_withheld;
    return send_attempt::kRetryLater;
  }
  if (reached_ && !dispatcher_.budgets[service_].Spend(
                      dispatcher_.RetryLimits(now),
                      dispatcher_.RetryShare(service_), now)) {
    ++dispatcher_.counts.budget_refusals;
    if (retries_.Rejections() == 0) return send_attempt::kNotPossible;
    // The budget grows with each request and as its window advances.
    retries_.RetryAt(RetryTimeAfterRejection(*servers[*chosen], now));
    return retries_.EarliestRetry() > now ? send_attempt::kRetryLater
                                          : send_attempt::kNotPossible;
  }
  SendTo(servers[*chosen], reached_);
  return send_attempt::kSent;
}

rejected_call service_call::RejectedCallAt(const listed_server& server,
                                           instant now) const {
  const server_health health = dispatcher_.stats.HealthOf(server.key, now);
  return {.acceptance = health.acceptance,
          .rejections_in_a_row = health.consecutive_refusals,
          .reply_time = TypicalLatency(),
          .objective_left = request_->objective_at - now,
          .deadline_left = request_->deadline - now};
}

instant service_call::RetryTimeAfterRejection(const listed_server& server,
                                              instant now) const {
  const auto delay = DelayAfterRejection(RejectedCallAt(server, now));
  return delay ? now + *delay : request_->deadline;
}

// Callers retry once, so a retry is tried on until its deadline. So is a
// request that may have run, since it gets no answer that allows another one.
bool service_call::IsRejected(instant now) const {
  if (!request_->is_single || request_->is_retry ||
      retries_.Rejections() == 0 || last_result_.may_have_run) {
    return false;
  }
  if (now >= request_->objective_at) return true;
  double all_reject = 1;
  for (const listed_server_ptr& server : CandidateServers()) {
    all_reject *= 1 - ChanceOfAcceptance(RejectedCallAt(*server, now));
  }
  return 1 - all_reject < kMinAcceptanceChance;
}

// A slot of a server is likely to be free after a typical reply time.
void service_call::FinishRejected() {
  ++dispatcher_.counts.rejected_calls;
  last_result_.rejected = true;
  last_result_.retry_after = TypicalLatency();
  event_line("call", "rejected")
      .With("request", request_->request_id)
      .With("service", service_)
      .With("rejections", retries_.Rejections())
      .With("objective_left_ms", ToMilliseconds(request_->objective_at - Now()))
      .With("retry_after_ms", ToMilliseconds(last_result_.retry_after));
  Finish(std::move(last_result_));
}

microseconds service_call::TypicalLatency() const {
  return dispatcher_.route_latencies[request_->route_name].TypicalLatency(
      request_->objective);
}

void service_call::SendTo(const listed_server_ptr& server, bool extra) {
  const std::uint64_t number = ++sends_;
  in_flight_.Send(server, number, extra,
                  [weak = weak_from_this(), number](backend_reply reply) {
                    if (const auto self = weak.lock()) {
                      self->OnSendEnd(number, std::move(reply));
                    }
                  });
  tried_.insert(server->key);
  reached_ = true;
  if (in_flight_.Size() == 1) ArmHedgeTimer();
}

void service_call::ArmHedgeTimer() {
  if (!request_->idempotent || request_->max_attempts < 2) return;
  const instant now = Now();
  const double budget_utilization = dispatcher_.budgets[service_].Utilization(
      dispatcher_.RetryLimits(now), dispatcher_.RetryShare(service_), now);
  const auto delay =
      dispatcher_.route_latencies[request_->route_name].HedgeDelay(
          request_->objective, request_->objective_at - now,
          budget_utilization);
  StartHedgeTimer(now + delay);
}

void service_call::StartHedgeTimer(instant when) {
  dispatcher_.loop.Cancel(hedge_timer_);
  hedge_timer_ = dispatcher_.loop.At(when, [self = shared_from_this()] {
    self->hedge_timer_ = 0;
    self->OnHedgeTimer();
  });
}

instant service_call::HedgeTimeOf(const pending_send& pending,
                                  instant now) const {
  const server_health health =
      dispatcher_.stats.HealthOf(pending.server->key, now);
  constexpr double kBudgetUsedUp = 1;
  const auto latest =
      dispatcher_.route_latencies[request_->route_name].HedgeDelay(
          request_->objective, request_->objective_at - pending.sent_at,
          kBudgetUsedUp);
  return HedgeTime({.sent_at = pending.sent_at,
                    .last_reply = health.last_reply,
                    .slowness = health.slowness,
                    .latest_hedge = pending.sent_at + latest},
                   now);
}

void service_call::OnHedgeTimer() {
  if (finished_ || in_flight_.Size() != 1) return;
  const instant now = Now();
  const instant when = HedgeTimeOf(in_flight_.Oldest(), now);
  if (when > now) {
    ++dispatcher_.counts.hedges_deferred;
    StartHedgeTimer(when);
    return;
  }
  in_flight_.ReportOverdue(in_flight_.Oldest());
  if (TrySend(send_kind::kHedged) == send_attempt::kSent) {
    ++dispatcher_.counts.hedged_sends;
  } else if (tried_.size() < request_->max_attempts) {
    StartHedgeTimer(now +
                    std::max<microseconds>(kMinHedgeRetry, TypicalLatency()));
  }
}

void service_call::OnSendEnd(std::uint64_t number, backend_reply reply) {
  if (finished_) return;
  const auto ended = in_flight_.Remove(number);
  if (!ended) return;
  const auto outcome = ClassifyReply(reply, dispatcher_.options.names);
  if (outcome == send_outcome::kAnswer) {
    answered_ = true;
    Finish({.outcome = outcome, .reply = std::move(reply)});
    return;
  }
  const bool rejected = outcome == send_outcome::kShed;
  if (rejected) {
    ++dispatcher_.counts.rejected_sends;
    retries_.OnRejected(ended->server->key,
                        RetryTimeAfterRejection(*ended->server, Now()));
  }
  if (!rejected || retries_.Rejections() == 1) {
    LogFailure(*ended, outcome, reply);
  }
  if (IsKnownNotExecuted(outcome)) {
    tried_.erase(ended->server->key);
    if (outcome == send_outcome::kNeverSent && ended->extra) {
      dispatcher_.budgets[service_].Refund();
    }
    if (outcome == send_outcome::kNeverSent && in_flight_.Empty() &&
        tried_.empty()) {
      // No server was reached, so the next send is not an extra send.
      reached_ = false;
    }
  } else {
    last_result_.may_have_run = true;
  }
  last_result_.outcome = outcome;
  last_result_.reply = std::move(reply);
  SendOrFinish();
}

// Further rejections of a call are only counted.
void service_call::LogFailure(const pending_send& ended, send_outcome outcome,
                              const backend_reply& reply) const {
  event_line("call", "send_failed")
      .With("request", request_->request_id)
      .With("service", service_)
      .With("server", ended.server->info.id)
      .With("outcome", Name(outcome))
      .With("fault", Name(reply.error))
      .With("reply_fault", Name(reply.fault))
      .With("reply_bytes", reply.received_bytes)
      .With("status", reply.status)
      .With("fingerprint", request_->identity.exact)
      .With("path_fingerprint", request_->identity.path)
      .With("after_ms", ToMilliseconds(Now() - ended.sent_at));
}

void service_call::SendOrFinish() {
  if (finished_ || !in_flight_.Empty()) return;
  const bool may_repeat = request_->idempotent || !last_result_.may_have_run;
  if (!may_repeat) {
    Finish(std::move(last_result_));
    return;
  }
  if (IsRejected(Now())) {
    FinishRejected();
    return;
  }
  const bool retry = sends_ > 0;
  switch (TrySend(send_kind::kFirstOrRetry)) {
    case send_attempt::kSent:
      if (retry) ++dispatcher_.counts.retries;
      return;
    case send_attempt::kRetryLater:
      if (const auto until = WaitForServer(Now())) {
        retry_timer_ = dispatcher_.loop.At(*until, [self = shared_from_this()] {
          self->retry_timer_ = 0;
          self->SendOrFinish();
        });
        return;
      }
      last_result_.retry_after = retries_.EarliestUnblock() - Now();
      break;
    case send_attempt::kNotPossible:
      last_result_.retry_after = last_result_.contained
                                     ? microseconds(crash_guard::kRetention)
                                     : kDefaultRetryAfter;
      break;
  }
  LogNotSent();
  Finish(std::move(last_result_));
}

std::optional<instant> service_call::WaitForServer(instant now) {
  auto until = retries_.WaitUntil(now);
  // A request that is still rejected ends at its objective.
  const bool ends_early = request_->is_single && !request_->is_retry &&
                          retries_.Rejections() > 0 &&
                          now < request_->objective_at;
  if (until && ends_early) until = std::min(*until, request_->objective_at);
  return until;
}

// Logs how many servers were skipped in the last attempt to send, by
// reason.
void service_call::LogNotSent() const {
  nlohmann::ordered_json blocked_servers;
  const auto& blocks = retries_.Blocks();
  for (std::size_t i = 0; i < blocks.size(); ++i) {
    if (blocks.at(i) > 0) {
      blocked_servers[std::string(Name(static_cast<send_block>(i)))] =
          blocks.at(i);
    }
  }
  if (blocked_servers.empty()) return;
  event_line("call", "not_sent")
      .With("request", request_->request_id)
      .With("service", service_)
      .With("servers", blocked_servers)
      .With("retry_after_ms", ToMilliseconds(last_result_.retry_after));
}

// A call that ends early because its caller is gone says nothing.
void service_call::CountLate() {
  const instant now = Now();
  if (finished_ || sends_ == 0 || now < request_->objective_at) return;
  dispatcher_.admission.loads.OnCallEnd(service_hash_, false, now);
}

void service_call::Finish(call_result result) {
  if (sends_ > 0) {
    const instant now = Now();
    dispatcher_.admission.loads.OnCallEnd(
        service_hash_, answered_ && now <= request_->objective_at, now);
  }
  finished_ = true;
  result.sends = sends_;
  AbandonAfterLinger();
  const auto done = std::move(done_);
  done(std::move(result));
}

void service_call::AbandonAfterLinger() {
  dispatcher_.loop.Cancel(hedge_timer_);
  dispatcher_.loop.Cancel(retry_timer_);
  if (in_flight_.Empty()) return;
  dispatcher_.loop.After(sends_in_flight::kLinger, [self = shared_from_this()] {
    self->in_flight_.AbandonAll();
  });
}

}  // namespace basilhoist
