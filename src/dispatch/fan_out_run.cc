#include <algorithm>
#include <utility>

#include "basilhoist/dispatch/answer_policy.h"
#include "basilhoist/dispatch/caller_request.h"
#include "basilhoist/merge/top_records.h"

namespace basilhoist {
namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

class fan_out_run : public active_request,
                    public std::enable_shared_from_this<fan_out_run> {
 public:
  fan_out_run(dispatcher& shared, caller_request request,
              request_end_handler on_end)
      : shared_(shared),
        request_(std::move(request)),
        on_end_(std::move(on_end)) {}

  void Start() override {
    const auto self = shared_from_this();
    const auto& shards = request_.matched->shards;
    objective_timer_ = shared_.loop.At(request_.outbound->objective_at, [self] {
      self->objective_timer_ = 0;
      self->objective_passed_ = true;
      self->Decide();
    });
    deadline_timer_ = shared_.loop.At(request_.outbound->deadline, [self] {
      self->deadline_timer_ = 0;
      self->GiveUp();
    });
    calls_.reserve(shards.size());
    for (const std::string& shard : shards) {
      calls_.push_back(std::make_shared<service_call>(
          shared_, request_.outbound, shard,
          [self](call_result result) { self->OnPart(std::move(result)); }));
    }
    // A call may end inside Start, and with it the whole request.
    for (std::size_t i = 0; i < calls_.size() && !ended_; ++i) {
      const auto call = calls_[i];
      call->Start();
    }
  }

  void GiveUp() override {
    deadline_passed_ = true;
    Decide();
  }

  void Abandon() override {
    for (const auto& call : calls_) call->Cancel();
    End({.status = 0, .cause = "caller_gone"});
  }

 private:
  void OnPart(call_result result) {
    if (ended_) return;
    if (result.outcome == send_outcome::kAnswer) {
      parts_.push_back(std::move(result.reply));
    } else {
      ++failed_;
      may_have_run_ = may_have_run_ || result.may_have_run;
      retry_after_ = std::max(retry_after_, result.retry_after);
    }
    Decide();
  }

  void Decide() {
    if (ended_) return;
    const fan_out_decision decision =
        DecideAnswer({.shards = request_.matched->shards.size(),
                      .answered = parts_.size(),
                      .failed = failed_,
                      .least_coverage = request_.matched->least_coverage,
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
    const header_names& names = shared_.options.names;
    const std::size_t shards = request_.matched->shards.size();
    std::vector<std::string_view> bodies;
    std::string signatures;
    for (const backend_reply& part : parts_) {
      bodies.emplace_back(part.body);
      if (!signatures.empty()) signatures += ", ";
      signatures += *part.Header(names.signature);
    }
    http_reply reply{
        .status = kOk,
        .content_type = "application/octet-stream",
        .body = MergeTopRecords(bodies, request_.matched->most_records)};
    reply.headers.push_back(
        {.name = names.part_signatures, .value = std::move(signatures)});
    reply.headers.push_back({.name = names.missing_shards,
                             .value = std::to_string(shards - parts_.size())});
    request_.exchange->Reply(std::move(reply));
    const std::size_t answered = parts_.size();
    End({.status = kOk,
         .cause = answered == shards  ? "full"
                  : objective_passed_ ? "partial_at_objective"
                                      : "partial_rest_failed",
         .shards = shards,
         .answered = answered,
         .sends = Sends(),
         .missing = Missing()});
  }

  [[nodiscard]] unsigned Sends() const {
    unsigned sends = 0;
    for (const auto& call : calls_) sends += call->Sends();
    return sends;
  }

  [[nodiscard]] std::vector<missing_shard> Missing() const {
    std::vector<missing_shard> missing;
    const instant now = Now();
    for (const auto& call : calls_) {
      if (call->Answered()) continue;
      missing.push_back({.service = call->Service(),
                         .sends = call->Sends(),
                         .oldest = call->OldestSend(now)});
    }
    return missing;
  }

  // The request may be repeated, so a part that ran does no harm; still only
  // a request of which no part was taken is said not to have run.
  void Refuse() {
    const bool untouched = parts_.empty() && !may_have_run_ && Sends() == 0;
    http_reply reply =
        untouched && !deadline_passed_
            ? NotRunReply(shared_.options.names, retry_after_,
                          "Too few shards can be reached; it has not run.")
            : FailureReply(deadline_passed_ ? kGatewayTimeout : kBadGateway,
                           "Too few shards answered.");
    const int status = reply.status;
    request_.exchange->Reply(std::move(reply));
    End({.status = status,
         .cause = deadline_passed_ ? "deadline" : "too_few_shards",
         .shards = request_.matched->shards.size(),
         .answered = parts_.size(),
         .sends = Sends(),
         .missing = Missing()});
  }

  void End(const request_end& end) {
    ended_ = true;
    shared_.loop.Cancel(objective_timer_);
    shared_.loop.Cancel(deadline_timer_);
    for (const auto& call : calls_) call->Leave();
    if (on_end_) std::exchange(on_end_, nullptr)(end);
  }

  dispatcher& shared_;
  caller_request request_;
  request_end_handler on_end_;
  std::vector<std::shared_ptr<service_call>> calls_;
  std::vector<backend_reply> parts_;
  std::size_t failed_ = 0;
  bool may_have_run_ = false;
  microseconds retry_after_{0};
  bool objective_passed_ = false;
  bool deadline_passed_ = false;
  bool ended_ = false;
  timer_id objective_timer_ = 0;
  timer_id deadline_timer_ = 0;
};

}  // namespace

std::shared_ptr<active_request> MakeFanOutRun(dispatcher& shared,
                                              caller_request request,
                                              request_end_handler on_end) {
  return std::make_shared<fan_out_run>(shared, std::move(request),
                                       std::move(on_end));
}

}  // namespace basilhoist
