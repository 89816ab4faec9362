#include "basilhoist/ctl/change.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "basilhoist/document/document_table.h"

namespace basilhoist {
namespace {

constexpr int kMostTries = 8;
constexpr microseconds kTryAgainAfter = milliseconds(250);

constexpr std::array<std::string_view, 5> kOutcomeNames{
    "accepted", "outrun", "refused", "failed", "not_known"};

}  // namespace

std::string_view Name(change_outcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string ContentOperation(const std::string& content) {
  const auto value = nlohmann::json::parse(content, nullptr, false);
  return value.is_object() ? value.value("operation_id", "") : "";
}

change_task::change_task(event_loop& loop, store_client& store,
                         document_change change, callback done)
    : loop_(loop),
      store_(store),
      change_(std::move(change)),
      done_(std::move(done)) {}

void change_task::Start() { Read(); }

void change_task::Finish(change_outcome outcome, std::uint64_t version,
                         const std::string& detail) {
  const bool accepted = outcome == change_outcome::kAccepted;
  done_({outcome, version, detail, accepted ? written_ : std::string()});
}

void change_task::Read() {
  store_.Get(change_.key, [this](const store_reply& reply) { OnRead(reply); });
}

void change_task::OnRead(const store_reply& reply) {
  const bool missing = reply.outcome == store_outcome::kMissing;
  const bool found =
      reply.outcome == store_outcome::kOk && !reply.objects.empty();
  if (!missing && !found) {
    Finish(change_outcome::kFailed, 0, "The store cannot be read.");
    return;
  }
  const stored_object present =
      found ? reply.objects.front() : stored_object{.key = change_.key};
  const std::uint64_t version = ContentVersion(present.content);
  if (ContentOperation(present.content) == change_.operation_id) {
    written_ = present.content;
    Finish(change_outcome::kAccepted, version, "It had been accepted before.");
    return;
  }
  const std::uint64_t newest = std::max(version, change_.known_version);
  if (change_.based_on != 0 && change_.based_on != newest) {
    Finish(change_outcome::kOutrun, newest,
           "Version " + std::to_string(newest) + " (operation " +
               ContentOperation(present.content) + ") came first; see diff.");
    return;
  }
  Write(present);
}

void change_task::Write(const stored_object& present) {
  const std::uint64_t version =
      std::max(ContentVersion(present.content), change_.known_version) + 1;
  const next_content next = change_.make(present.content, version);
  if (!next.possible) {
    Finish(change_outcome::kRefused, version - 1, next.detail);
    return;
  }
  expected_revision_ = present.revision;
  written_ = next.content;
  store_.Put(
      change_.key, present.revision, next.content,
      [this, version](const store_reply& reply) { OnWrite(reply, version); });
}

void change_task::OnWrite(const store_reply& reply, std::uint64_t version) {
  switch (reply.outcome) {
    case store_outcome::kOk:
      Finish(change_outcome::kAccepted, version, "");
      break;
    case store_outcome::kUnavailable:
    case store_outcome::kMissing:
      Finish(change_outcome::kFailed, 0, "The store did not take the change.");
      break;
    case store_outcome::kConflict:
    case store_outcome::kUnknown:
      ReadBack(version);
      break;
  }
}

// The write conflicted, or its answer was lost: what the store holds now
// tells. A write whose answer was lost is never made again blindly; while the
// object is unchanged, the lost write may still be on its way.
void change_task::ReadBack(std::uint64_t version) {
  store_.Get(change_.key, [this, version](const store_reply& reply) {
    const bool found =
        reply.outcome == store_outcome::kOk && !reply.objects.empty();
    const std::uint64_t revision = found ? reply.objects.front().revision : 0;
    const std::string content = found ? reply.objects.front().content : "";
    if (found && ContentOperation(content) == change_.operation_id) {
      Finish(change_outcome::kAccepted, version, "");
      return;
    }
    if (++tries_ >= kMostTries) {
      Finish(change_outcome::kNotKnown, version,
             "Ask again with operation id " + change_.operation_id + ".");
      return;
    }
    if (found && revision != expected_revision_) {
      // Another write took the place of ours, which can take effect no more.
      if (change_.mergeable) {
        Read();
        return;
      }
      Finish(change_outcome::kOutrun, ContentVersion(content),
             "Operation " + ContentOperation(content) + " came first.");
      return;
    }
    loop_.After(kTryAgainAfter, [this, version] { ReadBack(version); });
  });
}

}  // namespace basilhoist
