#include "basilhoist/entry/entry_task.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace basilhoist {
namespace {

// Where a request is refused for its group's load, the caller is asked to
// come back after about the time that the group's queues take to empty.
constexpr std::uint32_t kOverLimitRetryMs = 200;
constexpr std::uint32_t kNotReadyRetryMs = 1000;
// Parts of a request should stand in queues no longer than this share of the
// deadline; beyond it fewer requests are let in.
constexpr int kQueueShareOfDeadline = 8;

}  // namespace

entry_task::entry_task(event_loop& loop, owner_channel& channel,
                       entry_options options)
    : loop_(loop),
      options_(std::move(options)),
      outbox_(loop, channel, [this](std::uint64_t id) { OnUnsent(id); }),
      table_(options_.seed) {}

void entry_task::SetSettings(const site_settings& settings) {
  settings_ = settings;
  servers_ = IndexServers(settings_);
  for (const auto& group : settings_.groups) {
    auto& known = groups_[group.name];
    if (known && known->policy == group.policy) continue;
    if (known) {
      known->SetPolicy(group.policy);
    } else {
      known = std::make_unique<group_state>(group, options_.strategy);
    }
  }
}

void entry_task::SetIndex(std::shared_ptr<const index_catalogue> index) {
  index_ = std::move(index);
}

void entry_task::SetBarred(std::set<std::string> servers) {
  table_.SetBarred(std::move(servers));
}

const service_group* entry_task::FindGroup(const std::string& name) const {
  const auto found = std::find_if(
      settings_.groups.begin(), settings_.groups.end(),
      [&](const service_group& each) { return each.name == name; });
  return found == settings_.groups.end() ? nullptr : &*found;
}

index_source entry_task::SourceOf(const std::string& group) const {
  return [this, group]() -> std::shared_ptr<const group_index> {
    if (!index_) return nullptr;
    const auto found = index_->groups.find(group);
    if (found == index_->groups.end()) return nullptr;
    return {index_, &found->second};
  };
}

void entry_task::Refuse(const answer_callback& done, reason why,
                        std::uint32_t retry_ms) {
  query_answer answer{
      .outcome = verdict::kNotRun, .why = why, .retry_after_ms = retry_ms};
  Count(answer);
  done(answer);
}

void entry_task::Run(const caller_request& request, answer_callback done) {
  ++counters_.requests;
  const auto found = groups_.find(request.group);
  if (found == groups_.end() || !index_) {
    Refuse(done, reason::kNotReady, kNotReadyRetryMs);
    return;
  }
  group_state& group = *found->second;
  // Requests that may not be repeated have been admitted by their claim.
  const bool limited =
      request.kind != operation::kOnce && options_.strategy.admission;
  if (limited && !group.admission.Enter()) {
    Refuse(done, reason::kOverLimit, kOverLimitRetryMs);
    return;
  }
  const instant now = Now();
  const microseconds span = request.deadline.count() > 0
                                ? request.deadline
                                : group.policy.default_deadline;
  const std::uint64_t run_id = ++last_run_;
  running& made = runs_[run_id];
  made.deadline = now + span;
  made.done = std::move(done);
  made.group = &group;
  made.admitted = limited;
  made.payload = std::make_shared<const request_payload>(
      request_payload{.request_id = request.request_id,
                      .kind = request.kind,
                      .body = request.body});
  made.run = std::make_unique<query_run>(
      query_spec{.deadline = made.deadline,
                 .key = request.key,
                 .once = request.kind == operation::kOnce},
      SourceOf(request.group), table_, group, last_attempt_);
  Act(run_id, made.run->Begin(now));
}

void entry_task::Act(std::uint64_t run_id, query_step step) {
  for (const auto& each : step.cancel) {
    const auto found = attempts_.find(each.id);
    if (found == attempts_.end()) continue;
    outbox_.AddCancel(found->second.owner, each.id);
    attempts_.erase(found);
  }
  for (const auto& each : step.send) SendAttempt(run_id, each);
  if (step.answer) {
    Close(run_id, *step.answer);
    return;
  }
  const auto found = runs_.find(run_id);
  if (found == runs_.end()) return;
  // A timer that fires too early only looks again; most replies change
  // nothing about the time, and timers cost more than a look.
  running& current = found->second;
  if (current.wake != 0 && current.wake_at <= step.wake_at) return;
  loop_.Cancel(current.wake);
  current.wake_at = step.wake_at;
  current.wake = loop_.At(step.wake_at, [this, run_id] {
    const auto woken = runs_.find(run_id);
    if (woken == runs_.end()) return;
    woken->second.wake = 0;
    Act(run_id, woken->second.run->OnTime(Now()));
  });
}

void entry_task::SendAttempt(std::uint64_t run_id,
                             const planned_attempt& attempt) {
  const running& current = runs_.at(run_id);
  const auto server = servers_.find(attempt.server);
  std::string owner;
  if (server != servers_.end()) {
    owner = options_.owner_of(
        {attempt.server, server->second.server.failure_domain});
  }
  attempts_[attempt.id] = {run_id, owner};
  if (owner.empty()) {
    loop_.Post([this, id = attempt.id] { OnUnsent(id); });
    return;
  }
  outbox_.Add(owner,
              {.id = attempt.id,
               .server = attempt.server,
               .shard = attempt.shard,
               .version = attempt.version,
               .time_left_us = (current.deadline - Now()).count(),
               .second_attempt = attempt.second_attempt},
              current.payload);
}

void entry_task::OnUnsent(std::uint64_t attempt_id) {
  const auto found = attempts_.find(attempt_id);
  if (found == attempts_.end()) return;
  const std::uint64_t run_id = found->second.run_id;
  attempts_.erase(found);
  const auto current = runs_.find(run_id);
  if (current == runs_.end()) return;
  Act(run_id, current->second.run->OnLost(attempt_id, verdict::kNotRun, Now()));
}

void entry_task::OnReplies(subreply_batch replies) {
  const instant now = Now();
  for (const auto& each : replies.loads) table_.OnLoad(each.server, each.load);
  for (auto& reply : replies.items) {
    const auto found = attempts_.find(reply.id);
    if (found == attempts_.end()) {
      ++counters_.late_replies;
      continue;
    }
    const std::uint64_t run_id = found->second.run_id;
    attempts_.erase(found);
    const auto current = runs_.find(run_id);
    if (current == runs_.end()) continue;
    Act(run_id, current->second.run->OnReply(reply, now));
  }
}

void entry_task::OnOwnerLost(const std::string& owner) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.owner == owner) lost.push_back(id);
  }
  for (const std::uint64_t id : lost) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) continue;
    const std::uint64_t run_id = found->second.run_id;
    attempts_.erase(found);
    const auto current = runs_.find(run_id);
    if (current == runs_.end()) continue;
    Act(run_id, current->second.run->OnLost(id, verdict::kMayHaveRun, Now()));
  }
}

void entry_task::Close(std::uint64_t run_id, const query_answer& answer) {
  const auto found = runs_.find(run_id);
  running closed = std::move(found->second);
  runs_.erase(found);
  loop_.Cancel(closed.wake);
  if (closed.admitted) {
    const microseconds target =
        microseconds(closed.group->policy.default_deadline) /
        kQueueShareOfDeadline;
    closed.group->admission.Leave(answer.worst_queue_wait, target,
                                  answer.refused_for_room, Now());
  }
  Count(answer);
  closed.done(answer);
}

std::vector<group_summary> entry_task::Groups() const {
  std::vector<group_summary> summaries;
  for (const auto& [name, group] : groups_) {
    summaries.push_back(
        {.name = name,
         .second_attempt_delay = group->attempt_latency.Quantile({}),
         .in_flight = group->admission.InFlight(),
         .admission_limit = group->admission.Limit()});
  }
  return summaries;
}

void entry_task::Count(const query_answer& answer) {
  counters_.first_attempts += answer.first_attempts;
  counters_.extra_attempts += answer.extra_attempts;
  switch (answer.outcome) {
    case verdict::kDone:
      ++(answer.missing.empty() ? counters_.full_answers
                                : counters_.partial_answers);
      break;
    case verdict::kNotRun:
      ++counters_.not_run;
      break;
    case verdict::kMayHaveRun:
      ++counters_.may_have_run;
      break;
  }
}

}  // namespace basilhoist
