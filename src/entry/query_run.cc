#include "basilhoist/entry/query_run.h"

#include <algorithm>
#include <utility>

namespace basilhoist {
namespace {

constexpr std::uint32_t kMostRestarts = 3;
// A shard whose replicas all refused is asked again so many times, each after
// the pause that they named.
constexpr std::uint32_t kMostRounds = 3;
constexpr microseconds kLeastPause = milliseconds(2);
// A restart must leave this share of the time that the deadline gave.
constexpr double kLeastShareForRestart = 0.2;
// With an empty budget a second attempt is due after this much longer.
constexpr double kScarcityWeight = 0.5;
constexpr microseconds kBudgetPause = milliseconds(5);
constexpr microseconds kUnknownAttemptLatency = milliseconds(50);

bool IsRoomRefusal(reason why) {
  return why == reason::kOverLimit || why == reason::kWarmingUp;
}

}  // namespace

query_run::query_run(query_spec spec, index_source index, server_table& servers,
                     group_state& group, std::uint64_t& next_id)
    : spec_(std::move(spec)),
      source_(std::move(index)),
      servers_(servers),
      group_(group),
      next_id_(next_id) {}

query_step query_run::Begin(instant now) {
  began_ = now;
  query_step step;
  Pin(now, step);
  return Finish(std::move(step), now);
}

// Chooses the index version for the whole answer and starts every shard.
void query_run::Pin(instant now, query_step& step) {
  parts_.clear();
  first_open_part_ = 0;
  wake_is_old_ = true;
  index_ = source_();
  if (!index_) return;
  const index_version* chosen = ChooseVersion(*index_, servers_);
  if (chosen == nullptr) return;
  version_ = chosen->version;
  if (spec_.key.empty()) {
    for (const auto& place : chosen->shards)
      parts_.push_back({.place = &place});
  } else if (const shard* place = ShardForKey(*chosen, spec_.key)) {
    parts_.push_back({.place = place});
  }
  for (std::size_t i = 0; i < parts_.size(); ++i) SendFirst(i, now, step);
}

void query_run::SendFirst(std::size_t part_index, instant now,
                          query_step& step) {
  part& current = parts_[part_index];
  const std::string server = servers_.Choose(
      *current.place, version_, current.tried, group_.strategy.choice, now);
  if (server.empty()) {
    current.given_up = true;
    if (current.last_reason == reason::kNone) {
      current.last_reason = reason::kDraining;
    }
    return;
  }
  current.first_sent = now;
  current.first_wait = servers_.ExpectedWait(server);
  SendTo(part_index, server, false, now, step);
  ++answer_.first_attempts;
  group_.second_attempts.Earn();
  group_.retries.Earn();
}

bool query_run::SendTo(std::size_t part_index, const std::string& server,
                       bool second, instant now, query_step& step) {
  part& current = parts_[part_index];
  const std::uint64_t id = ++next_id_;
  current.tried.insert(server);
  ++current.open;
  open_[id] = {part_index, server, now, second};
  current.attempts.push_back(id);
  wake_is_old_ = true;
  servers_.OnSent(server);
  step.send.push_back({id, server, current.place->name, version_, second});
  return true;
}

void query_run::TrySecond(std::size_t part_index, instant now,
                          query_step& step) {
  part& current = parts_[part_index];
  const std::string server = servers_.Choose(
      *current.place, version_, current.tried, group_.strategy.choice, now);
  if (!server.empty() && !group_.second_attempts.Spend()) {
    current.second_after = now + kBudgetPause;
    return;
  }
  current.second_sent = true;
  if (server.empty()) return;
  ++answer_.extra_attempts;
  SendTo(part_index, server, true, now, step);
}

// Another replica at once, or the same ones after a pause, or give up.
void query_run::Retry(std::size_t part_index, instant now, query_step& step) {
  part& current = parts_[part_index];
  if (current.open > 0) return;
  if (spec_.once && outcome_ != verdict::kNotRun) {
    current.given_up = true;
    return;
  }
  const std::string server = servers_.Choose(
      *current.place, version_, current.tried, group_.strategy.choice, now);
  const bool allowed = group_.strategy.retries && group_.retries.Spend();
  if (!server.empty() && allowed) {
    ++answer_.extra_attempts;
    SendTo(part_index, server, false, now, step);
    return;
  }
  const auto pause = std::max<microseconds>(
      kLeastPause, microseconds(milliseconds(retry_after_ms_)));
  const bool in_time = now + pause * 2 < PartialAt();
  if (allowed && in_time && ++current.rounds < kMostRounds) {
    current.tried.clear();
    current.retry_at = now + pause;
    wake_is_old_ = true;
    return;
  }
  current.given_up = true;
}

query_step query_run::OnReply(const subreply& reply, instant now) {
  query_step step;
  const auto found = open_.find(reply.id);
  if (found == open_.end()) return step;
  const attempt from = found->second;
  open_.erase(found);
  part& current = parts_[from.part];
  --current.open;
  servers_.OnReply(from.server, reply, now - from.sent_at, now);
  answer_.worst_queue_wait =
      std::max(answer_.worst_queue_wait, microseconds(reply.queue_wait_us));
  // The echo must name what was asked for: a crossed reply is no reply.
  const bool matches =
      reply.shard == current.place->name && reply.version == version_;
  if (reply.outcome == verdict::kDone && matches) {
    Accept(from.part, reply, from, now, step);
  } else {
    OnFailure(from, reply, now, step);
  }
  return Finish(std::move(step), now);
}

void query_run::Accept(std::size_t part_index, const subreply& reply,
                       const attempt& from, instant now, query_step& step) {
  outcome_ = verdict::kDone;
  part& current = parts_[part_index];
  current.answered = true;
  current.body = reply.body;
  if (!from.second) {
    // Time in the owner's queue says nothing of the server.
    group_.attempt_latency.Add(now - from.sent_at -
                               microseconds(reply.queue_wait_us));
  }
  CancelOpen(part_index, now, step);
}

void query_run::CancelOpen(std::size_t part_index, instant now,
                           query_step& step) {
  part& current = parts_[part_index];
  for (const std::uint64_t id : current.attempts) {
    const auto found = open_.find(id);
    if (found == open_.end()) continue;
    const attempt open = found->second;
    open_.erase(found);
    step.cancel.push_back({id, open.server});
    if (!open.second && current.answered) {
      // It would have taken longer than this; that is all one can know.
      group_.attempt_latency.Add(now - open.sent_at - current.first_wait);
    }
    servers_.OnCancelled(open.server, now - open.sent_at);
  }
  current.attempts.clear();
  current.open = 0;
}

void query_run::OnFailure(const attempt& from, const subreply& reply,
                          instant now, query_step& step) {
  const std::size_t part_index = from.part;
  part& current = parts_[part_index];
  outcome_ = Combine(outcome_, reply.outcome);
  current.last_reason =
      reply.why == reason::kNone ? reason::kServerFailed : reply.why;
  if (IsRoomRefusal(reply.why) && !from.second) {
    answer_.refused_for_room = true;
  }
  retry_after_ms_ = reply.retry_after_ms;
  if (reply.why == reason::kVersionGone && current.open == 0) {
    OnVersionGone(part_index, now, step);
    return;
  }
  Retry(part_index, now, step);
}

// Another replica may still have the version. If none has, the whole request
// starts again, or else the shard is given up.
void query_run::OnVersionGone(std::size_t part_index, instant now,
                              query_step& step) {
  part& current = parts_[part_index];
  const std::string server = servers_.Choose(
      *current.place, version_, current.tried, group_.strategy.choice, now);
  if (!server.empty()) {
    ++answer_.extra_attempts;
    SendTo(part_index, server, false, now, step);
  } else if (RestartAllowed(now)) {
    Restart(now, step);
  } else {
    current.given_up = true;
  }
}

query_step query_run::OnLost(std::uint64_t id, verdict outcome, instant now) {
  query_step step;
  const auto found = open_.find(id);
  if (found == open_.end()) return step;
  const attempt from = found->second;
  open_.erase(found);
  --parts_[from.part].open;
  servers_.OnLost(from.server, now);
  subreply reply;
  reply.outcome = outcome;
  reply.why = reason::kLinkFailed;
  OnFailure(from, reply, now, step);
  return Finish(std::move(step), now);
}

bool query_run::RestartAllowed(instant now) const {
  const auto whole = static_cast<double>((spec_.deadline - began_).count());
  const auto left = static_cast<double>((spec_.deadline - now).count());
  const bool repeatable = !spec_.once || outcome_ == verdict::kNotRun;
  return restarts_ < kMostRestarts && repeatable &&
         left > whole * kLeastShareForRestart;
}

// The pinned version has vanished: nothing gathered so far may be mixed with
// answers of another version.
void query_run::Restart(instant now, query_step& step) {
  ++restarts_;
  // What is cancelled here may run all the same.
  if (!open_.empty()) outcome_ = Combine(outcome_, verdict::kMayHaveRun);
  for (std::size_t i = 0; i < parts_.size(); ++i) CancelOpen(i, now, step);
  Pin(now, step);
}

query_step query_run::OnTime(instant now) {
  query_step step;
  if (over_) return step;
  wake_is_old_ = true;
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    part& current = parts_[i];
    if (current.answered || current.given_up) continue;
    if (current.retry_at != instant() && current.retry_at <= now) {
      current.retry_at = instant();
      SendFirst(i, now, step);
      continue;
    }
    const bool late = current.open > 0 && now >= SecondAt(current);
    if (SecondAllowed() && late && !current.second_sent) {
      TrySecond(i, now, step);
    }
  }
  return Finish(std::move(step), now);
}

bool query_run::SecondAllowed() const {
  return group_.strategy.second_attempts && !spec_.once;
}

// A second attempt is due when the first has been on the server for longer
// than nearly all others; a wait for a slot that was to be expected is not
// held against the server.
instant query_run::SecondAt(const part& current) const {
  const auto learned = group_.attempt_latency.Quantile(kUnknownAttemptLatency);
  // As the budget empties, only later ones get a second attempt: what is left
  // must go to those that are latest, not to those that ask first.
  const double scarcity =
      1.0 + kScarcityWeight * (1.0 - group_.second_attempts.Fill());
  const auto delay = microseconds(static_cast<std::int64_t>(
      static_cast<double>(learned.count()) * scarcity));
  return std::max(current.second_after,
                  current.first_sent + current.first_wait + delay);
}

bool query_run::Complete() {
  // A part that is over stays over, so each is looked at once.
  while (first_open_part_ < parts_.size()) {
    const part& each = parts_[first_open_part_];
    if (!each.answered && !each.given_up) return false;
    ++first_open_part_;
  }
  return true;
}

instant query_run::PartialAt() const {
  return std::min(spec_.deadline, began_ + group_.policy.partial_after);
}

instant query_run::NextWake() const {
  instant wake = PartialAt();
  for (const auto& each : parts_) {
    if (each.answered || each.given_up) continue;
    if (each.retry_at != instant()) wake = std::min(wake, each.retry_at);
    if (SecondAllowed() && each.open > 0 && !each.second_sent) {
      wake = std::min(wake, SecondAt(each));
    }
  }
  return wake;
}

query_step query_run::Finish(query_step step, instant now) {
  if (over_) return step;
  if (Complete()) {
    Close(reason::kNone, now, step);
  } else if (now >= PartialAt()) {
    Close(reason::kDeadlinePassed, now, step);
  } else {
    // Replies only ever make the next wake later: it need not be worked out
    // anew for each of them, which would be quadratic in the shards.
    if (wake_is_old_) wake_ = NextWake();
    wake_is_old_ = false;
    step.wake_at = wake_;
  }
  return step;
}

// Puts the answer together. Coverage counts the shards of the pinned
// version's own map, each once.
void query_run::Close(reason why, instant now, query_step& step) {
  over_ = true;
  answer_.index_version = version_;
  answer_.total_shards = parts_.size();
  if (!open_.empty()) outcome_ = Combine(outcome_, verdict::kMayHaveRun);
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    part& each = parts_[i];
    if (each.answered) {
      answer_.results.push_back({each.place->name, std::move(each.body)});
      continue;
    }
    CancelOpen(i, now, step);
    const bool given_up = each.given_up || each.last_reason != reason::kNone;
    answer_.missing.push_back(
        {each.place->name, given_up ? each.last_reason : why});
  }
  answer_.outcome = outcome_;
  if (answer_.results.empty()) {
    answer_.why = answer_.missing.empty() ? reason::kNotReady
                                          : answer_.missing.front().why;
    // A restart may have left answers behind that nobody gets.
    if (outcome_ == verdict::kDone) answer_.outcome = verdict::kMayHaveRun;
    answer_.retry_after_ms = std::max<std::uint32_t>(1, retry_after_ms_);
  }
  step.answer = std::move(answer_);
}

}  // namespace basilhoist
