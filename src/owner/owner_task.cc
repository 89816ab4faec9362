#include "basilhoist/owner/owner_task.h"

#include <algorithm>
#include <utility>

#include "backend_protocol.h"

namespace basilhoist {
namespace {

using internal::backend_reply;

// Work for a server that is just changing hands waits for so long; a
// hand-over between live instances takes a few milliseconds.
constexpr microseconds kPermitGrace = milliseconds(100);
constexpr microseconds kStaleAfter = milliseconds(2000);
constexpr microseconds kPermitPoll = milliseconds(3);
constexpr std::uint32_t kNoOwnerRetryMs = 50;
constexpr std::uint32_t kDrainingRetryMs = 1000;

}  // namespace

owner_task::owner_task(event_loop& loop, http_client& http,
                       owner_options options)
    : loop_(loop), http_(http), options_(std::move(options)) {}

void owner_task::SetServers(
    const std::map<std::string, server_entry>& servers) {
  for (auto it = slots_.begin(); it != slots_.end();) {
    if (servers.contains(it->first)) {
      ++it;
      continue;
    }
    RefuseQueue(it->second, reason::kDraining);
    loop_.Cancel(it->second.wake);
    it = slots_.erase(it);
  }
  for (const auto& [name, entry] : servers) {
    const auto found = slots_.find(name);
    if (found == slots_.end()) {
      slots_.emplace(name, slot{entry, server_gate(entry.limits)});
      continue;
    }
    if (found->second.entry == entry) continue;
    found->second.gate.SetLimits(entry.limits);
    found->second.entry = entry;
  }
}

void owner_task::SetBarred(std::set<std::string> servers) {
  barred_ = std::move(servers);
  for (const auto& name : barred_) {
    if (slot* at = FindSlot(name)) RefuseQueue(*at, reason::kDraining);
  }
}

owner_task::slot* owner_task::FindSlot(const std::string& server) {
  const auto found = slots_.find(server);
  return found == slots_.end() ? nullptr : &found->second;
}

bool owner_task::Permitted(const slot& at) const {
  const owned_server server{at.entry.server.name,
                            at.entry.server.failure_domain};
  return !stopped_ && options_.may_send(server);
}

void owner_task::OnBatch(const subrequest_batch& batch,
                         const std::shared_ptr<reply_sink>& sink) {
  const instant now = Now();
  std::vector<std::shared_ptr<const request_payload>> payloads;
  for (const auto& each : batch.payloads) {
    payloads.push_back(std::make_shared<const request_payload>(each));
  }
  std::set<std::string> touched;
  for (const auto& request : batch.items) {
    if (request.payload >= payloads.size()) continue;
    Take(request, payloads[request.payload], sink, now);
    touched.insert(request.server);
  }
  for (const auto& name : touched) {
    if (slot* at = FindSlot(name)) Dispatch(*at);
  }
}

void owner_task::Take(const subrequest& request,
                      const std::shared_ptr<const request_payload>& payload,
                      const std::shared_ptr<reply_sink>& sink, instant now) {
  const std::uint64_t job_id = ++last_job_;
  job& made = jobs_[job_id];
  made = {.request = request,
          .payload = payload,
          .sink = sink,
          .sink_id = sink.get(),
          .arrived = now,
          .deadline = now + microseconds(request.time_left_us)};
  job_of_[{sink.get(), request.id}] = job_id;
  slot* at = FindSlot(request.server);
  if (stopped_) {
    Refuse(job_id, reason::kNoOwner, kNoOwnerRetryMs);
  } else if (at == nullptr || barred_.contains(request.server)) {
    Refuse(job_id, reason::kDraining, kDrainingRetryMs);
  } else {
    const gate_item item{job_id, made.deadline, now, request.second_attempt};
    const admission answer = at->gate.Offer(item, now);
    if (!answer.admitted) Refuse(job_id, answer.why, answer.retry_after_ms);
  }
}

void owner_task::Dispatch(slot& at) {
  const instant now = Now();
  if (!Permitted(at)) {
    for (const auto& item : at.gate.TakeWaiting(now - kPermitGrace)) {
      Refuse(item.id, reason::kNoOwner, kNoOwnerRetryMs);
    }
    if (at.waiting_for_permit || at.gate.Load(now).queued == 0) return;
    at.waiting_for_permit = true;
    const std::string name = at.entry.server.name;
    loop_.After(kPermitPoll, [this, name] {
      slot* again = FindSlot(name);
      if (again == nullptr) return;
      again->waiting_for_permit = false;
      Dispatch(*again);
    });
    return;
  }
  // Whatever was known of a server that this instance has not used for a
  // while may be stale: another owner may have had it, or it restarted.
  if (now - at.last_permitted > kStaleAfter) at.gate.Reset();
  at.last_permitted = now;
  const gate_decision decision = at.gate.Next(now);
  for (const auto& item : decision.drop) {
    Refuse(item.id, reason::kOverLimit, 1);
  }
  for (const auto& item : decision.send) Send(at, item.id, now);
  NoteLoad(at, now);
  ArmWake(at, now);
}

void owner_task::ArmWake(slot& at, instant now) {
  loop_.Cancel(at.wake);
  at.wake = 0;
  constexpr instant kNever{microseconds::max()};
  const instant when = at.gate.WakeAt(now);
  if (when == kNever) return;
  const std::string name = at.entry.server.name;
  at.wake = loop_.At(when, [this, name] {
    slot* woken = FindSlot(name);
    if (woken == nullptr) return;
    woken->wake = 0;
    Dispatch(*woken);
  });
}

void owner_task::Send(slot& at, std::uint64_t job_id, instant now) {
  job& current = jobs_.at(job_id);
  // The server must be done with it before a takeover could be; its own
  // deadline sees to that.
  const auto left = std::min<microseconds>(current.deadline - now,
                                           at.entry.policy.attempt_timeout);
  current.in_flight = true;
  current.sent_at = now;
  current.deadline = now + left;
  ++counters_.sent;
  http_call call = internal::MakeRunCall(at.entry.server, current.request,
                                         *current.payload, left);
  call.local_address = options_.local_address;
  // Asked again when the connection stands: setting one up takes time, and
  // the process may have been stopped meanwhile.
  const owned_server server{at.entry.server.name,
                            at.entry.server.failure_domain};
  call.may_send = [this, server, due = current.deadline] {
    return Now() < due && !barred_.contains(server.name) &&
           options_.may_send(server);
  };
  http_.Start(std::move(call), [this, job_id](http_result& result) {
    OnResult(job_id, result);
  });
}

void owner_task::OnResult(std::uint64_t job_id, http_result& result) {
  const instant now = Now();
  job& current = jobs_.at(job_id);
  const std::string server = current.request.server;
  backend_reply read =
      internal::ReadBackendReply(result, current.request, *current.payload);
  slot* at = FindSlot(server);
  if (at != nullptr) {
    at->gate.OnEnd(read.end, now - current.sent_at, current.deadline,
                   read.incarnation, now);
    read.reply.load = at->gate.Load(now);
  }
  read.reply.queue_wait_us =
      static_cast<std::uint32_t>((current.sent_at - current.arrived).count());
  counters_.answered += read.end == attempt_end::kAnswered ? 1 : 0;
  counters_.shed += read.end == attempt_end::kShed ? 1 : 0;
  counters_.failed += read.reply.why == reason::kServerFailed ? 1 : 0;
  if (read.end == attempt_end::kUnsent) read.reply.why = reason::kNoOwner;
  Reply(job_id, std::move(read.reply));
  if (at != nullptr) Dispatch(*at);
}

void owner_task::OnCancel(const cancel_batch& cancels,
                          const std::shared_ptr<reply_sink>& sink) {
  for (const std::uint64_t id : cancels.ids) {
    const auto found = job_of_.find({sink.get(), id});
    if (found == job_of_.end()) continue;
    const std::uint64_t job_id = found->second;
    job& current = jobs_.at(job_id);
    if (current.cancelled) continue;
    current.cancelled = true;
    ++counters_.cancelled;
    slot* at = FindSlot(current.request.server);
    if (!current.in_flight) {
      if (at != nullptr) at->gate.Withdraw(job_id);
      job_of_.erase(found);
      jobs_.erase(job_id);
      continue;
    }
    if (at == nullptr) continue;
    // The slot stays taken until the server confirms by its reply.
    http_call call = internal::MakeCancelCall(
        at->entry.server,
        internal::BackendRequestId(current.request, *current.payload));
    call.local_address = options_.local_address;
    http_.Start(std::move(call), [](http_result&) {});
  }
}

void owner_task::Refuse(std::uint64_t job_id, reason why,
                        std::uint32_t retry_after_ms) {
  const job& current = jobs_.at(job_id);
  subreply reply;
  reply.outcome = verdict::kNotRun;
  reply.why = why;
  reply.retry_after_ms = retry_after_ms;
  reply.shard = current.request.shard;
  if (const slot* at = FindSlot(current.request.server)) {
    reply.load = at->gate.Load(Now());
  }
  ++counters_.refused;
  Reply(job_id, std::move(reply));
}

void owner_task::RefuseQueue(slot& at, reason why) {
  for (const auto& item : at.gate.TakeQueue()) {
    Refuse(item.id, why, kDrainingRetryMs);
  }
}

void owner_task::Reply(std::uint64_t job_id, subreply reply) {
  const auto found = jobs_.find(job_id);
  reply.id = found->second.request.id;
  const auto sink = found->second.sink.lock();
  const bool wanted = !found->second.cancelled;
  job_of_.erase({found->second.sink_id, reply.id});
  jobs_.erase(found);
  if (!sink || !wanted) return;
  unsent_[sink].items.push_back(std::move(reply));
  if (flush_posted_) return;
  flush_posted_ = true;
  loop_.Post([this] { FlushReplies(); });
}

void owner_task::FlushReplies() {
  flush_posted_ = false;
  auto batches = std::move(unsent_);
  unsent_.clear();
  for (auto& [sink, batch] : batches) {
    batch.loads = LoadsFor(sink);
    sink->OnReplies(std::move(batch));
  }
}

void owner_task::NoteLoad(slot& at, instant now) {
  const server_load load = at.gate.Load(now);
  if (load == at.told_load) return;
  at.told_load = load;
  at.load_changed_at = ++load_changes_;
}

// An entry hears of a single server only when it has work for it. The loads of
// all servers of this owner ride on each batch instead, or choices would rest
// on figures many service times old.
std::vector<load_report> owner_task::LoadsFor(
    const std::shared_ptr<reply_sink>& sink) {
  std::uint64_t& told = loads_told_[sink];
  std::vector<load_report> loads;
  for (const auto& [name, at] : slots_) {
    if (at.load_changed_at > told) loads.push_back({name, at.told_load});
  }
  told = load_changes_;
  std::erase_if(loads_told_,
                [](const auto& entry) { return entry.first.expired(); });
  return loads;
}

void owner_task::Stop() {
  stopped_ = true;
  for (auto& [name, at] : slots_) RefuseQueue(at, reason::kNoOwner);
}

std::size_t owner_task::InFlight() const {
  std::size_t total = 0;
  for (const auto& [name, at] : slots_) total += at.gate.InFlight();
  return total;
}

std::size_t owner_task::InFlight(const std::string& server) const {
  const auto found = slots_.find(server);
  return found == slots_.end() ? 0 : found->second.gate.InFlight();
}

std::vector<owned_server_state> owner_task::States() const {
  std::vector<owned_server_state> states;
  const instant now = Now();
  for (const auto& [name, at] : slots_) {
    states.push_back({.name = name,
                      .load = at.gate.Load(now),
                      .barred = barred_.contains(name),
                      .permitted = Permitted(at)});
  }
  return states;
}

}  // namespace basilhoist
