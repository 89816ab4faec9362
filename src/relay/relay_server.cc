#include "basilhoist/relay/relay_server.h"

#include <vector>

#include "basilhoist/link/codec.h"
#include "basilhoist/merge/top_records.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {

// One relayed request. Parts are gathered until all are in or the objective is
// due; from then on each one leaves as it comes.
class relay_server::work : public std::enable_shared_from_this<work> {
 public:
  work(dispatcher& shared, std::weak_ptr<frame_link> link,
       const relay_request& request, std::function<void()> on_end)
      : shared_(shared),
        link_(std::move(link)),
        id_(request.id),
        most_records_(request.most_records),
        on_end_(std::move(on_end)) {
    const instant now = Now();
    auto outbound = std::make_shared<outbound_request>();
    outbound->head = request.head;
    outbound->body = std::make_shared<const std::string>(request.body);
    outbound->is_head_method = request.is_head_method;
    outbound->request_id = request.request_id;
    outbound->route_name = request.route_name;
    outbound->identity = {.exact = request.fingerprint,
                          .path = request.path_fingerprint};
    outbound->idempotent = true;
    outbound->max_attempts = request.max_attempts;
    outbound->relay_domain = shared.options.failure_domain;
    outbound->objective = microseconds(request.objective_us);
    outbound->objective_at = now + microseconds(request.objective_left_us);
    outbound->deadline = now + microseconds(request.deadline_left_us);
    outbound_ = std::move(outbound);
    shards_ = request.shards;
  }

  void Start() {
    Send({.id = id_});  // Taken; the sender waits for this one only briefly.
    const auto self = shared_from_this();
    left_ = shards_.size();
    objective_timer_ = shared_.loop.At(outbound_->objective_at, [self] {
      self->objective_timer_ = 0;
      self->objective_passed_ = true;
      self->Flush();
    });
    deadline_timer_ = shared_.loop.At(outbound_->deadline, [self] {
      self->deadline_timer_ = 0;
      self->Cancel();
    });
    for (std::uint32_t i = 0; i < shards_.size(); ++i) {
      calls_.push_back(std::make_shared<service_call>(
          shared_, outbound_, shards_[i], [self, i](call_result result) {
            self->OnPart(i, std::move(result));
          }));
    }
    // A call may end inside Start, and with it all of them.
    const auto calls = calls_;
    for (const auto& call : calls) call->Start();
    started_ = true;
    if (!pending_.not_sent.empty()) Flush();
  }

  void Cancel() {
    for (const auto& call : calls_) call->Cancel();
    End();
  }

 private:
  void OnPart(std::uint32_t shard, call_result result) {
    --left_;
    if (result.outcome == send_outcome::kAnswer) {
      const auto* proof = result.reply.Header(shared_.options.names.signature);
      pending_.parts.push_back({.shard = shard, .signature = *proof});
      bodies_.push_back(std::move(result.reply.body));
    } else if (result.sends == 0 && !result.contained) {
      pending_.not_sent.push_back(shard);
      AddNotices(shards_.at(shard));
    } else {
      pending_.failed.push_back(shard);
      pending_.may_have_run = pending_.may_have_run || result.may_have_run;
    }
    // The sender can still do something for what was not sent.
    const bool urgent = objective_passed_ || !pending_.not_sent.empty();
    if (left_ == 0 || (started_ && urgent)) Flush();
    if (left_ == 0) End();
  }

  // The sender must not go on to what the relay has heard about.
  void AddNotices(const std::string& service) {
    const instant now = Now();
    for (const listed_server_ptr& each : shared_.directory.Of(service)) {
      const auto notice = shared_.notices.NoticeFor(each->run, now);
      if (notice) pending_.notices.push_back(*notice);
    }
  }

  void Flush() {
    if (pending_.parts.empty() && pending_.failed.empty() &&
        pending_.not_sent.empty()) {
      return;
    }
    const std::vector<std::string_view> views(bodies_.begin(), bodies_.end());
    pending_.id = id_;
    pending_.records = MergeTopRecords(views, most_records_);
    Send(std::exchange(pending_, {}));
    bodies_.clear();
  }

  void Send(const relay_update& update) {
    if (const auto link = link_.lock()) {
      link->Send(frame_kind::kRelayUpdate, Encode(update));
    }
  }

  void End() {
    shared_.loop.Cancel(objective_timer_);
    shared_.loop.Cancel(deadline_timer_);
    if (on_end_) std::exchange(on_end_, nullptr)();
  }

  dispatcher& shared_;
  std::weak_ptr<frame_link> link_;
  std::uint64_t id_;
  std::size_t most_records_;
  std::function<void()> on_end_;
  std::shared_ptr<const outbound_request> outbound_;
  std::vector<std::string> shards_;
  std::vector<std::shared_ptr<service_call>> calls_;
  relay_update pending_;
  std::vector<std::string> bodies_;
  std::size_t left_ = 0;
  bool started_ = false;
  bool objective_passed_ = false;
  timer_id objective_timer_ = 0;
  timer_id deadline_timer_ = 0;
};

relay_server::relay_server(dispatcher& shared) : shared_(shared) {}

relay_server::~relay_server() = default;

void relay_server::OnFrame(const std::shared_ptr<frame_link>& link,
                           frame_kind kind, std::string_view bytes) {
  if (kind == frame_kind::kRelayRequest) {
    const auto request = Decode<relay_request>(bytes);
    if (!request) {
      event_line("relay", "request_unreadable").With("bytes", bytes.size());
      return;
    }
    Begin(link, *request);
  } else if (kind == frame_kind::kRelayCancel) {
    const auto cancel = Decode<relay_cancel>(bytes);
    if (cancel) Cancel({link.get(), cancel->id});
  }
}

// Started later in the turn: an instance that was frozen reads requests and
// their cancellations at once.
void relay_server::Begin(const std::shared_ptr<frame_link>& link,
                         const relay_request& request) {
  const work_key key{link.get(), request.id};
  const auto made = std::make_shared<work>(shared_, link, request,
                                           [this, key] { active_.erase(key); });
  active_[key] = made;
  shared_.loop.Post([this, key] {
    const auto found = active_.find(key);
    if (found == active_.end()) return;
    const auto still = found->second;
    still->Start();
  });
}

void relay_server::Cancel(const work_key& key) {
  const auto found = active_.find(key);
  if (found == active_.end()) return;
  const auto ended = found->second;
  ended->Cancel();
}

void relay_server::OnGone(const frame_link* link) {
  std::vector<std::shared_ptr<work>> ended;
  for (const auto& [key, each] : active_) {
    if (key.first == link) ended.push_back(each);
  }
  for (const auto& each : ended) each->Cancel();
}

}  // namespace basilhoist
