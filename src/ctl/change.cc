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
  return TextField(value, "operation_id");
}

change_task::change_task(event_loop& loop, object_store& store,
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
  store_.Get(change_.kind, change_.name,
             [this](call_outcome outcome, const object& present) {
               OnRead(outcome, present);
             });
}

void change_task::OnRead(call_outcome outcome, const object& present) {
  if (outcome != call_outcome::kMissing && outcome != call_outcome::kOk) {
    Finish(change_outcome::kFailed, 0, "The store cannot be read.");
    return;
  }
  const std::string content = present.Text();
  const std::uint64_t version = ContentVersion(content);
  if (ContentOperation(content) == change_.operation_id) {
    written_ = content;
    Finish(change_outcome::kAccepted, version, "It had been accepted before.");
    return;
  }
  const std::uint64_t newest = std::max(version, change_.known_version);
  if (change_.based_on != 0 && change_.based_on != newest) {
    Finish(change_outcome::kOutrun, newest,
           "Version " + std::to_string(newest) + " (operation " +
               ContentOperation(content) + ") came first; see diff.");
    return;
  }
  Write(present);
}

void change_task::Write(const object& present) {
  const std::string content = present.Text();
  const std::uint64_t version =
      std::max(ContentVersion(content), change_.known_version) + 1;
  const next_content next = change_.make(content, version);
  if (!next.possible) {
    Finish(change_outcome::kRefused, version - 1, next.detail);
    return;
  }
  expected_revision_ = present.revision;
  written_ = next.content;
  store_.Put(change_.kind,
             {.name = change_.name,
              .revision = present.revision,
              .content = next.content},
             [this, version](call_outcome outcome, const object&) {
               OnWrite(outcome, version);
             });
}

void change_task::OnWrite(call_outcome outcome, std::uint64_t version) {
  switch (outcome) {
    case call_outcome::kOk:
      Finish(change_outcome::kAccepted, version, "");
      break;
    case call_outcome::kNotDone:
    case call_outcome::kMissing:
    case call_outcome::kHistoryGone:
      Finish(change_outcome::kFailed, 0, "The store did not take the change.");
      break;
    case call_outcome::kConflict:
    case call_outcome::kUnknown:
      ReadBack(version);
      break;
  }
}

// The write conflicted, or its answer was lost: what the store holds now
// tells. A write whose answer was lost is never made again blindly; while the
// object is unchanged, the lost write may still be on its way.
void change_task::ReadBack(std::uint64_t version) {
  const auto done = [this, version](call_outcome outcome,
                                    const object& present) {
    const bool found = outcome == call_outcome::kOk;
    const std::string content = present.Text();
    if (found && ContentOperation(content) == change_.operation_id) {
      Finish(change_outcome::kAccepted, version, "");
      return;
    }
    if (++tries_ >= kMostTries) {
      Finish(change_outcome::kNotKnown, version,
             "Ask again with operation id " + change_.operation_id + ".");
      return;
    }
    if (found && present.revision != expected_revision_) {
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
  };
  store_.Get(change_.kind, change_.name, done);
}

}  // namespace basilhoist
