#include "basilhoist/document/document_sync.h"

#include <algorithm>
#include <array>
#include <utility>

#include "basilhoist/ops/log.h"

namespace basilhoist {
namespace {

constexpr microseconds kRetryAfter = milliseconds(300);
// A watch that starts while the store is silent gets no events after the
// store's return, so it must end well before a change has to be in force.
constexpr milliseconds kWatchWait{5000};
constexpr std::array<std::string_view, 4> kDocuments{
    kConfigDocument, kDrainsDocument, kIndexDocument, kViewDocument};

}  // namespace

document_sync::document_sync(event_loop& loop, object_store& store,
                             document_table& documents, const std::string& site,
                             std::function<bool()> is_watcher)
    : loop_(loop),
      store_(store),
      documents_(documents),
      kind_(DocumentKind(site)),
      is_watcher_(std::move(is_watcher)) {}

void document_sync::Start() { Continue(); }

void document_sync::Continue() {
  if (!is_watcher_()) {
    loop_.After(kRetryAfter, [this] { Continue(); });
  } else if (revision_ == 0) {
    List({});
  } else {
    Watch();
  }
}

void document_sync::List(const std::string& after) {
  store_.List(kind_, {.after = after},
              [this](call_outcome outcome, const object_page& page) {
                if (!Check(outcome)) return;
                for (const object& each : page.objects) Take(each);
                if (page.has_more && !page.objects.empty()) {
                  List(page.objects.back().name);
                  return;
                }
                revision_ = page.revision;
                loop_.Post([this] { Continue(); });
              });
}

void document_sync::Watch() {
  store_.Watch(kind_, revision_, kWatchWait,
               [this](call_outcome outcome, const object_events& seen) {
                 if (!Check(outcome)) return;
                 for (const auto& each : seen.events) {
                   // Documents last; one that is removed is kept here.
                   if (!each.deleted) Take(each.changed);
                 }
                 revision_ = seen.revision;
                 loop_.Post([this] { Continue(); });
               });
}

bool document_sync::Check(call_outcome outcome) {
  const bool up =
      outcome == call_outcome::kOk || outcome == call_outcome::kHistoryGone;
  if (up != store_up_) {
    LogOf("store")->info(up ? "The store answers." : "The store is away.");
  }
  store_up_ = up;
  if (outcome == call_outcome::kOk) return true;
  // The store may come back with older content, and lower revisions.
  revision_ = 0;
  loop_.After(kRetryAfter, [this] { Continue(); });
  return false;
}

void document_sync::Take(const object& stored) {
  if (std::find(kDocuments.begin(), kDocuments.end(), stored.name) ==
      kDocuments.end()) {
    return;
  }
  const std::string content = stored.Text();
  documents_.Offer({stored.name, ContentVersion(content), content});
}

}  // namespace basilhoist
