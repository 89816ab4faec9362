#include "basilhoist/once/once_task.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace basilhoist {
namespace {

using nlohmann::json;

constexpr std::uint32_t kStoreRetryMs = 1000;
constexpr std::uint32_t kRepeatRetryMs = 500;
constexpr microseconds kWriteRetryAfter = milliseconds(500);
// The store may be away for long; an outcome that cannot be recorded in this
// many tries is lost to repeats, which then hear "may have run".
constexpr int kWriteTries = 20;

std::string NameOf(const caller_request& request) {
  const auto hash =
      XXH3_128bits(request.request_id.data(), request.request_id.size());
  return request.group + "." + std::to_string(hash.high64) + "-" +
         std::to_string(hash.low64);
}

// Whether a write needs no repeat: it was made, or cannot be made any more.
bool IsSettled(call_outcome outcome) {
  return outcome == call_outcome::kOk || outcome == call_outcome::kConflict ||
         outcome == call_outcome::kMissing;
}

}  // namespace

struct once_task::work {
  caller_request request;
  std::string name;      // of the claim in the store
  std::string claim_id;  // tells this arrival's claim from any other's
  std::uint64_t revision = 0;
  instant began;
  std::function<std::string(const query_answer&)> format;
  answer_callback done;
};

once_task::once_task(event_loop& loop, object_store& store, entry_task& entry,
                     once_options options)
    : loop_(loop),
      store_(store),
      entry_(entry),
      options_(std::move(options)),
      kind_(options_.site + ".once") {}

std::string once_task::ClaimText(const work& current,
                                 const std::string& outcome) const {
  json text{{"request_id", current.request.request_id},
            {"claim", current.claim_id}};
  if (!outcome.empty()) text["outcome"] = outcome;
  return text.dump();
}

void once_task::Run(const caller_request& request,
                    std::function<std::string(const query_answer&)> format,
                    answer_callback done) {
  auto current = std::make_shared<work>();
  current->request = request;
  current->name = NameOf(request);
  current->claim_id = options_.instance + "/" +
                      std::to_string(options_.incarnation) + "/" +
                      std::to_string(++last_claim_);
  current->began = Now();
  current->format = std::move(format);
  current->done = std::move(done);
  store_.Create(kind_,
                {.name = current->name, .content = ClaimText(*current, "")},
                [this, current](call_outcome outcome, const object& created) {
                  OnClaim(current, outcome, created.revision);
                });
}

void once_task::OnClaim(const work_ptr& current, call_outcome outcome,
                        std::uint64_t revision) {
  switch (outcome) {
    case call_outcome::kOk:
      OnHeld(current, revision);
      break;
    case call_outcome::kConflict:
    case call_outcome::kUnknown:
      // Someone holds the claim, or the answer was lost and it may be us.
      ReadBack(current);
      break;
    case call_outcome::kMissing:
    case call_outcome::kHistoryGone:
    case call_outcome::kNotDone:
      Refuse(current, verdict::kNotRun, reason::kStoreUnavailable);
      break;
  }
}

void once_task::ReadBack(const work_ptr& current) {
  const auto done = [this, current](call_outcome outcome, const object& found) {
    if (outcome != call_outcome::kOk) {
      // No claim is known to be ours, so nothing is sent. A write of ours
      // that takes effect yet only bars repeats.
      Refuse(current, verdict::kNotRun, reason::kStoreUnavailable);
      return;
    }
    const std::string text = found.Text();
    const json content = json::parse(text, nullptr, false);
    if (TextField(content, "claim") == current->claim_id) {
      OnHeld(current, found.revision);
    } else {
      OnRepeat(current, text);
    }
  };
  store_.Get(kind_, current->name, done);
}

void once_task::OnHeld(const work_ptr& current, std::uint64_t revision) {
  ++counters_.claimed;
  current->revision = revision;
  caller_request request = current->request;
  const auto spent =
      std::chrono::duration_cast<milliseconds>(Now() - current->began);
  request.deadline -= spent;
  if (request.deadline.count() <= 0) {
    GiveUpClaim(current, kWriteTries);
    Refuse(current, verdict::kNotRun, reason::kDeadlinePassed);
    return;
  }
  entry_.Run(request, [this, current](const query_answer& answer) {
    OnAnswer(current, answer);
  });
}

void once_task::OnAnswer(const work_ptr& current, const query_answer& answer) {
  if (answer.outcome == verdict::kDone) {
    Record(current, current->format(answer), kWriteTries);
  } else if (answer.outcome == verdict::kNotRun) {
    // It did not run and will not: a repeat may have the claim.
    GiveUpClaim(current, kWriteTries);
  }
  current->done({.answer = answer});
}

void once_task::Record(const work_ptr& current, const std::string& text,
                       int tries) {
  if (tries == 0) return;
  const auto done = [this, current, text, tries](call_outcome outcome,
                                                 const object&) {
    const bool settled = IsSettled(outcome);
    counters_.recorded += settled ? 1 : 0;
    if (settled) return;
    loop_.After(kWriteRetryAfter, [this, current, text, tries] {
      Record(current, text, tries - 1);
    });
  };
  store_.Replace(kind_,
                 {.name = current->name,
                  .revision = current->revision,
                  .content = ClaimText(*current, text)},
                 done);
}

void once_task::GiveUpClaim(const work_ptr& current, int tries) {
  if (tries == 0) return;
  const auto done = [this, current, tries](call_outcome outcome,
                                           const object&) {
    if (IsSettled(outcome)) return;
    loop_.After(kWriteRetryAfter,
                [this, current, tries] { GiveUpClaim(current, tries - 1); });
  };
  store_.Remove(kind_, current->name, current->revision, done);
}

void once_task::OnRepeat(const work_ptr& current, const std::string& content) {
  ++counters_.repeated;
  const json claim = json::parse(content, nullptr, false);
  if (!claim.is_object() || !claim.contains("outcome")) {
    Refuse(current, verdict::kMayHaveRun, reason::kRepeated);
    return;
  }
  current->done({.recorded = true, .body = TextField(claim, "outcome")});
}

void once_task::Refuse(const work_ptr& current, verdict outcome, reason why) {
  if (why == reason::kStoreUnavailable) ++counters_.not_claimed;
  once_answer refused;
  refused.answer.outcome = outcome;
  refused.answer.why = why;
  refused.answer.retry_after_ms =
      why == reason::kRepeated ? kRepeatRetryMs : kStoreRetryMs;
  current->done(refused);
}

}  // namespace basilhoist
