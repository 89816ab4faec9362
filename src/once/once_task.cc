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

std::string KeyOf(const std::string& site, const caller_request& request) {
  const auto hash =
      XXH3_128bits(request.request_id.data(), request.request_id.size());
  return site + ".once." + request.group + "." + std::to_string(hash.high64) +
         "-" + std::to_string(hash.low64);
}

}  // namespace

struct once_task::work {
  caller_request request;
  std::string key;
  std::string claim_id;  // tells this arrival's claim from any other's
  std::uint64_t revision = 0;
  instant began;
  std::function<std::string(const query_answer&)> format;
  answer_callback done;
};

once_task::once_task(event_loop& loop, store_client& store, entry_task& entry,
                     once_options options)
    : loop_(loop), store_(store), entry_(entry), options_(std::move(options)) {}

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
  current->key = KeyOf(options_.site, request);
  current->claim_id = options_.instance + "/" +
                      std::to_string(options_.incarnation) + "/" +
                      std::to_string(++last_claim_);
  current->began = Now();
  current->format = std::move(format);
  current->done = std::move(done);
  store_.Put(
      current->key, 0, ClaimText(*current, ""),
      [this, current](const store_reply& reply) { OnClaim(current, reply); });
}

void once_task::OnClaim(const work_ptr& current, const store_reply& reply) {
  switch (reply.outcome) {
    case store_outcome::kOk:
      OnHeld(current, reply.revision);
      break;
    case store_outcome::kConflict:
    case store_outcome::kUnknown:
      // Someone holds the claim, or the answer was lost and it may be us.
      ReadBack(current);
      break;
    case store_outcome::kMissing:
    case store_outcome::kUnavailable:
      Refuse(current, verdict::kNotRun, reason::kStoreUnavailable);
      break;
  }
}

void once_task::ReadBack(const work_ptr& current) {
  store_.Get(current->key, [this, current](const store_reply& reply) {
    if (reply.outcome != store_outcome::kOk || reply.objects.empty()) {
      // No claim is known to be ours, so nothing is sent. A write of ours
      // that takes effect yet only bars repeats.
      Refuse(current, verdict::kNotRun, reason::kStoreUnavailable);
      return;
    }
    const auto& object = reply.objects.front();
    const json content = json::parse(object.content, nullptr, false);
    if (content.value("claim", "") == current->claim_id) {
      OnHeld(current, object.revision);
    } else {
      OnRepeat(current, object.content);
    }
  });
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
  store_.Put(current->key, current->revision, ClaimText(*current, text),
             [this, current, text, tries](const store_reply& reply) {
               const bool settled = reply.outcome == store_outcome::kOk ||
                                    reply.outcome == store_outcome::kConflict ||
                                    reply.outcome == store_outcome::kMissing;
               counters_.recorded += settled ? 1 : 0;
               if (settled) return;
               loop_.After(kWriteRetryAfter, [this, current, text, tries] {
                 Record(current, text, tries - 1);
               });
             });
}

void once_task::GiveUpClaim(const work_ptr& current, int tries) {
  if (tries == 0) return;
  store_.Remove(current->key, current->revision,
                [this, current, tries](const store_reply& reply) {
                  if (reply.outcome != store_outcome::kUnavailable &&
                      reply.outcome != store_outcome::kUnknown) {
                    return;
                  }
                  loop_.After(kWriteRetryAfter, [this, current, tries] {
                    GiveUpClaim(current, tries - 1);
                  });
                });
}

void once_task::OnRepeat(const work_ptr& current, const std::string& content) {
  ++counters_.repeated;
  const json claim = json::parse(content, nullptr, false);
  if (!claim.contains("outcome")) {
    Refuse(current, verdict::kMayHaveRun, reason::kRepeated);
    return;
  }
  current->done({.recorded = true, .body = claim.value("outcome", "")});
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
