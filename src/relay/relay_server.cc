#include "basilhoist/relay/relay_server.h"

#include <vector>

#include "basilhoist/dispatch/request_admission.h"
#include "basilhoist/link/codec.h"
#include "basilhoist/merge/top_records.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// The head is kept here and written to one server at a time.
constexpr std::size_t kHeadCopies = 2;

std::size_t MemoryOf(const relay_request& request) {
  return kHeadCopies * request.head.size() + request.body.size();
}

}  // namespace

// Executes one batch. Shard results are merged into a single update, which is
// sent when all are available or the time of the latency objective is reached.
// After that time each result is sent as soon as it is available. A shard that
// could not be sent causes an update at once.
class relay_server::batch_task
    : public std::enable_shared_from_this<batch_task> {
 public:
  batch_task(dispatcher& the_dispatcher, std::weak_ptr<frame_link> link,
             relay_request request, const relay_terms& terms,
             const memory_budget_ptr& memory, std::function<void()> on_end)
      : dispatcher_(the_dispatcher),
        link_(std::move(link)),
        id_(request.id),
        max_records_(request.max_records),
        on_end_(std::move(on_end)) {
    const instant now = Now();
    auto outbound = std::make_shared<outbound_request>();
    const std::size_t bytes = MemoryOf(request);
    outbound->head = std::move(request.head);
    outbound->body = CountedText(std::move(request.body), memory, bytes);
    outbound->is_head_method = request.is_head_method;
    outbound->request_id = request.request_id;
    outbound->route_name = request.route_name;
    outbound->identity = {.exact = request.fingerprint,
                          .path = request.path_fingerprint};
    outbound->idempotent = true;
    outbound->max_attempts = request.max_attempts;
    outbound->relay_domain = the_dispatcher.options.failure_domain;
    outbound->part =
        terms.reserves_servers ? relay_part::kRelay : relay_part::kFixedRelay;
    outbound->workspace = terms.workspace;
    outbound->priority = terms.priority;
    outbound->objective = microseconds(request.objective_us);
    outbound->objective_at = now + microseconds(request.objective_left_us);
    outbound->deadline = now + microseconds(request.deadline_left_us);
    outbound_ = std::move(outbound);
    shards_ = request.shards;
  }

  void Start() {
    // An empty update confirms that the batch is accepted. The sender waits for
    // it for relay_client::kAcceptTimeout only.
    Send({.id = id_});
    const auto self = shared_from_this();
    unfinished_ = shards_.size();
    objective_timer_ = dispatcher_.loop.At(outbound_->objective_at, [self] {
      self->objective_timer_ = 0;
      self->objective_passed_ = true;
      self->Flush();
    });
    deadline_timer_ = dispatcher_.loop.At(outbound_->deadline, [self] {
      self->deadline_timer_ = 0;
      self->Cancel();
    });
    RecordAdmitted(dispatcher_, *outbound_);
    for (std::uint32_t i = 0; i < shards_.size(); ++i) {
      calls_.push_back(std::make_shared<service_call>(
          dispatcher_, outbound_, shards_[i], [self, i](call_result result) {
            self->OnResult(i, std::move(result));
          }));
    }
    // Copied, since a call may end before its Start returns, and the batch with
    // it.
    const auto calls = calls_;
    for (const auto& call : calls) call->Start();
    started_ = true;
    if (!next_update_.not_sent.empty()) Flush();
  }

  void Cancel() {
    for (const auto& call : calls_) call->Cancel();
    End();
  }

 private:
  void OnResult(std::uint32_t shard, call_result result) {
    --unfinished_;
    AddNotices(shards_.at(shard));
    if (result.outcome == send_outcome::kAnswer) {
      const auto* signature =
          result.reply.Header(dispatcher_.options.names.signature);
      next_update_.parts.push_back({.shard = shard, .signature = *signature});
      bodies_.push_back(std::move(result.reply.body));
    } else if (result.sends == 0 && !result.contained) {
      next_update_.not_sent.push_back(shard);
      AddLimits(shards_.at(shard));
    } else {
      next_update_.failed.push_back(shard);
      next_update_.may_have_run =
          next_update_.may_have_run || result.may_have_run;
    }
    // Shards that were not sent are returned at once, while the sender still
    // has time to send them itself.
    const bool urgent = objective_passed_ || !next_update_.not_sent.empty();
    if (unfinished_ == 0 || (started_ && urgent)) Flush();
    if (unfinished_ == 0) End();
  }

  // Adds the notices of a shard's servers. The sender does not see the headers
  // of their answers, and may have to send to them when this relay is lost.
  void AddNotices(const std::string& service) {
    const instant now = Now();
    for (const listed_server_ptr& server :
         dispatcher_.directory.ServersOf(service)) {
      const auto notice =
          dispatcher_.notices.NoticeFor(server->incarnation, now);
      if (notice) next_update_.notices.push_back(*notice);
    }
  }

  // Adds the rate limits of the servers of a shard that was not sent, so that
  // the sender does not send it to them.
  void AddLimits(const std::string& service) {
    const instant now = Now();
    for (const listed_server_ptr& server :
         dispatcher_.directory.ServersOf(service)) {
      const auto limit =
          dispatcher_.rate_limits.ReportOf(server->incarnation, now);
      if (limit) limits_.push_back(*limit);
    }
  }

  void Flush() {
    if (next_update_.parts.empty() && next_update_.failed.empty() &&
        next_update_.not_sent.empty()) {
      return;
    }
    const std::vector<std::string_view> views(bodies_.begin(), bodies_.end());
    if (!limits_.empty()) SendLimits();
    next_update_.id = id_;
    next_update_.records = MergeTopRecords(views, max_records_);
    Send(std::exchange(next_update_, {}));
    bodies_.clear();
  }

  void SendLimits() {
    if (const auto link = link_.lock()) {
      link->Send(frame_kind::kRelayLimits,
                 Encode(relay_limits{.id = id_, .limits = limits_}));
    }
    limits_.clear();
  }

  void Send(const relay_update& update) {
    if (const auto link = link_.lock()) {
      link->Send(frame_kind::kRelayUpdate, Encode(update));
    }
  }

  void End() {
    dispatcher_.loop.Cancel(objective_timer_);
    dispatcher_.loop.Cancel(deadline_timer_);
    if (on_end_) std::exchange(on_end_, nullptr)();
  }

  dispatcher& dispatcher_;
  std::weak_ptr<frame_link> link_;
  std::uint64_t id_;
  std::size_t max_records_;
  std::function<void()> on_end_;
  std::shared_ptr<const outbound_request> outbound_;
  std::vector<std::string> shards_;
  std::vector<std::shared_ptr<service_call>> calls_;
  relay_update next_update_;
  std::vector<rate_limit_report> limits_;  // to be sent before the next update
  // Replies to be merged into the next update.
  std::vector<std::string> bodies_;
  std::size_t unfinished_ = 0;
  bool started_ = false;
  bool objective_passed_ = false;
  timer_id objective_timer_ = 0;
  timer_id deadline_timer_ = 0;
};

relay_server::relay_server(dispatcher& the_dispatcher, memory_budget_ptr memory)
    : dispatcher_(the_dispatcher), memory_(std::move(memory)) {}

relay_server::~relay_server() = default;

void relay_server::OnFrame(const std::shared_ptr<frame_link>& link,
                           frame_kind kind, std::string_view bytes) {
  if (kind == frame_kind::kRelayTerms) {
    OnTerms(link.get(), bytes);
  } else if (kind == frame_kind::kRelayRequest) {
    auto request = Decode<relay_request>(bytes);
    if (!request) {
      event_line("relay", "request_unreadable").With("bytes", bytes.size());
      return;
    }
    Accept(link, std::move(*request));
  } else if (kind == frame_kind::kRelayCancel) {
    const auto cancel = Decode<relay_cancel>(bytes);
    if (cancel) Cancel({link.get(), cancel->id});
  }
}

void relay_server::OnTerms(const frame_link* link, std::string_view bytes) {
  const auto terms = Decode<relay_terms>(bytes);
  if (terms) terms_[link] = *terms;
}

// The batch starts in a task posted to the event loop. An instance that was
// frozen reads requests together with their cancellations, which can then
// remove a batch before it is sent.
void relay_server::Accept(const std::shared_ptr<frame_link>& link,
                          relay_request request) {
  const bool fits = !memory_ || memory_->MayHandle(MemoryOf(request));
  if (!fits) memory_->CountRefusal();
  if (dispatcher_.isolation.Isolated() || !fits) {
    Reject(link, request);
    return;
  }
  const batch_key key{link.get(), request.id};
  relay_terms terms;
  const auto received = terms_.find(link.get());
  if (received != terms_.end() && received->second.id == request.id) {
    terms = received->second;
  }
  const auto task = std::make_shared<batch_task>(
      dispatcher_, link, std::move(request), terms, memory_,
      [this, key] { active_.erase(key); });
  active_[key] = task;
  dispatcher_.loop.Post([this, key] {
    const auto found = active_.find(key);
    if (found == active_.end()) return;
    const auto accepted = found->second;  // erased from active_ when it ends
    accepted->Start();
  });
}

// An isolated instance, or one without memory, returns batches at once, while
// the sender still has time to send the shards itself.
void relay_server::Reject(const std::shared_ptr<frame_link>& link,
                          const relay_request& request) {
  relay_update update{.id = request.id};
  for (std::uint32_t i = 0; i < request.shards.size(); ++i) {
    update.not_sent.push_back(i);
  }
  link->Send(frame_kind::kRelayUpdate, Encode(update));
}

void relay_server::Cancel(const batch_key& key) {
  const auto found = active_.find(key);
  if (found == active_.end()) return;
  const auto task = found->second;  // erased from active_ when it ends
  task->Cancel();
}

void relay_server::OnDisconnect(const frame_link* link) {
  terms_.erase(link);
  std::vector<std::shared_ptr<batch_task>> cancelled;
  for (const auto& [key, task] : active_) {
    if (key.first == link) cancelled.push_back(task);
  }
  for (const auto& task : cancelled) task->Cancel();
}

}  // namespace basilhoist
