#include <algorithm>
#include <utility>

#include "basilhoist/dispatch/active_request.h"
#include "basilhoist/dispatch/answer_policy.h"
#include "basilhoist/dispatch/request_admission.h"
#include "basilhoist/merge/top_records.h"
#include "basilhoist/ops/event_line.h"
#include "basilhoist/relay/relay_client.h"
#include "basilhoist/relay/relay_plan.h"

namespace basilhoist {
namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

// Sends a request to all shards of its route, directly or through relays, and
// merges the results.
class fan_out_request : public active_request,
                        public std::enable_shared_from_this<fan_out_request> {
 public:
  fan_out_request(dispatcher& the_dispatcher, routed_request request,
                  request_outcome_handler on_outcome)
      : dispatcher_(the_dispatcher),
        request_(std::move(request)),
        on_outcome_(std::move(on_outcome)),
        shards_(request_.matched->shards.size()) {}

  void Start() override {
    const auto self = shared_from_this();
    started_at_ = Now();
    objective_timer_ =
        dispatcher_.loop.At(request_.outbound->objective_at, [self] {
          self->objective_timer_ = 0;
          self->objective_passed_ = true;
          self->Decide();
        });
    deadline_timer_ = dispatcher_.loop.At(request_.outbound->deadline, [self] {
      self->deadline_timer_ = 0;
      self->Expire();
    });
    const coverage_outlook outlook =
        dispatcher_.OutlookFor(request_.matched->shards, started_at_);
    if (!dispatcher_.AdmitFanOut(outlook, request_.matched->min_coverage,
                                 started_at_)) {
      RefuseUnsent(outlook);
      return;
    }
    SendRelayBatches();
    if (std::any_of(shards_.begin(), shards_.end(),
                    [](const shard_state& each) { return !each.relayed; })) {
      RecordAdmitted(dispatcher_, *request_.outbound);
    }
    // A call may end before Start returns, and the whole request with it.
    for (std::size_t i = 0; i < shards_.size() && !ended_; ++i) {
      if (!shards_[i].relayed) MakeCall(i)->Start();
    }
  }

  void Expire() override {
    deadline_passed_ = true;
    Decide();
  }

  void Abandon() override {
    for (const shard_state& shard : shards_) {
      if (shard.call) shard.call->Cancel();
    }
    End({.status = 0, .cause = "caller_gone"});
  }

 private:
  enum class progress : std::uint8_t { kPending, kAnswered, kFailed };
  enum class result_source : std::uint8_t { kCall, kRelay };

  struct shard_state {
    progress state = progress::kPending;
    bool relayed = false;  // sent to a relay that has not lost or returned it
    std::shared_ptr<service_call> call;
    unsigned calls = 0;                                // calls made so far
    result_source answered_by = result_source::kCall;  // if kAnswered
  };

  void SendRelayBatches() {
    if (dispatcher_.relays == nullptr) return;
    const instant now = Now();
    std::vector<shard_location> locations;
    for (const std::string& shard : request_.matched->shards) {
      locations.push_back(
          {.failure_domains = dispatcher_.UsableDomains(shard, now)});
    }
    const std::size_t rotation = dispatcher_.random();
    for (const relay_batch& batch :
         PlanRelayBatches(locations, dispatcher_.options.failure_domain,
                          dispatcher_.relays->UsableDomains(), rotation)) {
      DivideBatch(batch, rotation);
    }
  }

  // Divides a batch among relays of its failure domain in round robin order, so
  // that adjacent shards go to different relays.
  void DivideBatch(const relay_batch& batch, std::size_t rotation) {
    const std::vector<relay_peer> relays = dispatcher_.relays->ChooseRelays(
        batch.failure_domain, batch.shards.size(), rotation);
    for (std::size_t i = 0; i < relays.size(); ++i) {
      relay_batch sub_batch{.failure_domain = batch.failure_domain};
      for (std::size_t at = i; at < batch.shards.size(); at += relays.size()) {
        sub_batch.shards.push_back(batch.shards[at]);
      }
      SendBatch(sub_batch, relays[i]);
    }
  }

  void SendBatch(const relay_batch& batch, const relay_peer& relay) {
    std::vector<std::string> names;
    for (const std::size_t shard : batch.shards) {
      names.push_back(request_.matched->shards[shard]);
    }
    const auto self = shared_from_this();
    const std::uint64_t id = dispatcher_.relays->Send(
        relay, *request_.outbound, request_.matched->max_records,
        std::move(names),
        {.on_update =
             [self, shards = batch.shards](const relay_update& update) {
               self->OnRelayUpdate(shards, update);
             },
         .on_lost =
             [self, batch](const std::vector<std::uint32_t>& unfinished) {
               self->OnBatchLost(batch, unfinished);
             }});
    if (id == 0) return;
    batches_.push_back(id);
    for (const std::size_t shard : batch.shards) shards_[shard].relayed = true;
  }

  std::shared_ptr<service_call> MakeCall(std::size_t shard,
                                         const std::string& relay_domain = {}) {
    auto outbound = request_.outbound;
    if (!relay_domain.empty()) {
      auto relayed = std::make_shared<outbound_request>(*outbound);
      relayed->part = relay_part::kSenderAfter;
      relayed->relay_domain = relay_domain;
      outbound = std::move(relayed);
    }
    shards_[shard].call = std::make_shared<service_call>(
        dispatcher_, std::move(outbound), request_.matched->shards[shard],
        [self = shared_from_this(), shard](call_result result) {
          self->OnShardResult(shard, std::move(result));
        });
    ++shards_[shard].calls;
    return shards_[shard].call;
  }

  void OnShardResult(std::size_t shard, call_result result) {
    if (ended_) return;
    if (result.outcome == send_outcome::kAnswer) {
      SetAnswered(shard, result_source::kCall);
      AddSignature(*result.reply.Header(dispatcher_.options.names.signature));
      bodies_.push_back(std::move(result.reply.body));
    } else {
      shards_[shard].state = progress::kFailed;
      may_have_run_ = may_have_run_ || result.may_have_run;
      retry_after_ = std::max(retry_after_, result.retry_after);
    }
    Decide();
  }

  void OnRelayUpdate(const std::vector<std::size_t>& shards,
                     const relay_update& update) {
    if (ended_) return;
    for (const relayed_part& part : update.parts) {
      SetAnswered(shards.at(part.shard), result_source::kRelay);
      AddSignature(part.signature);
    }
    for (const std::uint32_t failed : update.failed) {
      shards_.at(shards.at(failed)).state = progress::kFailed;
    }
    if (!update.parts.empty()) bodies_.push_back(update.records);
    may_have_run_ = may_have_run_ || update.may_have_run;
    for (const server_notice& notice : update.notices) {
      dispatcher_.announcements.OnRelayedNotice(
          notice, request_.outbound->request_id, Now());
    }
    for (const std::uint32_t not_sent : update.not_sent) {
      if (ended_) return;
      shards_.at(shards.at(not_sent)).relayed = false;
      MakeCall(shards.at(not_sent))->Start();
    }
    Decide();
  }

  // The relay may have sent the shards that it did not return, so a send from
  // here counts as an extra send. Shards that it returned have a call already.
  void OnBatchLost(const relay_batch& batch,
                   const std::vector<std::uint32_t>& unfinished) {
    if (ended_) return;
    may_have_run_ = true;
    for (const std::uint32_t index : unfinished) {
      if (ended_) return;
      const std::size_t shard = batch.shards.at(index);
      shards_[shard].relayed = false;
      MakeCall(shard, batch.failure_domain)->StartAfterRelayLoss();
    }
  }

  void SetAnswered(std::size_t shard, result_source source) {
    shard_state& state = shards_.at(shard);
    if (state.state == progress::kAnswered) {
      event_line("fan_out", "repeated_answer")
          .With("request", request_.outbound->request_id)
          .With("service", request_.matched->shards[shard])
          .With("first", Name(state.answered_by))
          .With("second", Name(source))
          .With("calls", state.calls);
    }
    state.state = progress::kAnswered;
    state.answered_by = source;
  }

  static const char* Name(result_source source) {
    return source == result_source::kCall ? "call" : "relay";
  }

  void AddSignature(const std::string& signature) {
    if (!signatures_.empty()) signatures_ += ", ";
    signatures_ += signature;
  }

  [[nodiscard]] std::size_t Count(progress state) const {
    return static_cast<std::size_t>(std::count_if(
        shards_.begin(), shards_.end(),
        [state](const shard_state& shard) { return shard.state == state; }));
  }

  void Decide() {
    if (ended_) return;
    const fan_out_decision decision =
        DecideAnswer({.shards = shards_.size(),
                      .answered = Count(progress::kAnswered),
                      .failed = Count(progress::kFailed),
                      .min_coverage = request_.matched->min_coverage,
                      .objective_passed = objective_passed_,
                      .deadline_passed = deadline_passed_});
    if (decision == fan_out_decision::kWait) return;
    if (decision == fan_out_decision::kAnswer) {
      Answer();
    } else {
      Refuse();
    }
  }

  void Answer() {
    const header_names& names = dispatcher_.options.names;
    const std::size_t answered = Count(progress::kAnswered);
    const std::vector<std::string_view> views(bodies_.begin(), bodies_.end());
    http_reply reply{
        .status = kOk,
        .content_type = "application/octet-stream",
        .body = MergeTopRecords(views, request_.matched->max_records)};
    reply.headers.push_back(
        {.name = names.shard_signatures, .value = std::move(signatures_)});
    reply.headers.push_back(
        {.name = names.missing_shards,
         .value = std::to_string(shards_.size() - answered)});
    request_.exchange->Reply(std::move(reply));
    End({.status = kOk,
         .cause = answered == shards_.size() ? "full"
                  : objective_passed_        ? "partial_at_objective"
                                             : "partial_rest_failed"});
  }

  void RefuseUnsent(const coverage_outlook& outlook) {
    retry_after_ = std::max(retry_after_, outlook.earliest - started_at_);
    http_reply reply = NotRunReply(
        dispatcher_.options.names, PlanRetryAfter(outlook.lowest_rate_service),
        "Servers of too many shards limit their load; it has not "
        "run.");
    const int status = reply.status;
    request_.exchange->Reply(std::move(reply));
    End({.status = status, .cause = "shards_limited"});
  }

  // Fan-out requests are idempotent, so a retry is safe even if some shards ran
  // the request. The answer still says "not run" only if it was sent to no
  // shard.
  void Refuse() {
    const bool never_sent = !may_have_run_ && Sends() == 0 && !deadline_passed_;
    http_reply reply =
        never_sent
            ? NotRunReply(dispatcher_.options.names,
                          PlanRetryAfter(request_.matched->shards.front()),
                          "Too few shards can be reached; it has not run.")
            : FailureReply(deadline_passed_ ? kGatewayTimeout : kBadGateway,
                           "Too few shards answered.");
    const int status = reply.status;
    request_.exchange->Reply(std::move(reply));
    End({.status = status,
         .cause = deadline_passed_ ? "deadline" : "too_few_shards"});
  }

  // Callers return as fast as the servers of one shard can handle.
  microseconds PlanRetryAfter(const std::string& shard) {
    const outbound_request& out = *request_.outbound;
    return dispatcher_.PlanRetryAfter(
        shard, out.route_name,
        {.priority = request_.matched->priority, .deadline = out.deadline},
        out.objective, Now() + retry_after_);
  }

  [[nodiscard]] unsigned Sends() const {
    unsigned sends = 0;
    for (const shard_state& shard : shards_) {
      if (shard.relayed) ++sends;
      if (shard.call) sends += shard.call->Sends();
    }
    return sends;
  }

  [[nodiscard]] std::vector<missing_shard> MissingShards() const {
    std::vector<missing_shard> missing;
    const instant now = Now();
    for (std::size_t i = 0; i < shards_.size(); ++i) {
      const shard_state& shard = shards_[i];
      if (shard.state == progress::kAnswered) continue;
      missing.push_back({.service = request_.matched->shards[i],
                         .relayed = shard.relayed,
                         .sends = shard.call ? shard.call->Sends() : 0,
                         .oldest_send_age = shard.call
                                                ? shard.call->OldestSendAge(now)
                                                : now - started_at_});
    }
    return missing;
  }

  void End(request_outcome outcome) {
    ended_ = true;
    outcome.shards = shards_.size();
    outcome.answered = Count(progress::kAnswered);
    outcome.sends = Sends();
    outcome.missing = MissingShards();
    dispatcher_.loop.Cancel(objective_timer_);
    dispatcher_.loop.Cancel(deadline_timer_);
    for (const shard_state& shard : shards_) {
      if (shard.call) shard.call->Detach();
    }
    for (const std::uint64_t batch : batches_) {
      dispatcher_.relays->Cancel(batch);
    }
    if (on_outcome_) std::exchange(on_outcome_, nullptr)(outcome);
  }

  dispatcher& dispatcher_;
  routed_request request_;
  request_outcome_handler on_outcome_;
  std::vector<shard_state> shards_;
  std::vector<std::uint64_t> batches_;
  std::string signatures_;
  std::vector<std::string> bodies_;
  bool may_have_run_ = false;
  microseconds retry_after_{0};
  bool objective_passed_ = false;
  bool deadline_passed_ = false;
  bool ended_ = false;
  instant started_at_;
  timer_id objective_timer_ = 0;
  timer_id deadline_timer_ = 0;
};

}  // namespace

std::shared_ptr<active_request> MakeFanOutRequest(
    dispatcher& the_dispatcher, routed_request request,
    request_outcome_handler on_outcome) {
  return std::make_shared<fan_out_request>(the_dispatcher, std::move(request),
                                           std::move(on_outcome));
}

}  // namespace basilhoist
