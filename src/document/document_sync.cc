#include "basilhoist/document/document_sync.h"

#include <array>
#include <utility>

#include "basilhoist/ops/log.h"

namespace basilhoist {
namespace {

constexpr microseconds kRetryAfter = milliseconds(300);
constexpr std::array<const char*, 4> kDocuments{
    kConfigDocument, kDrainsDocument, kIndexDocument, kViewDocument};

}  // namespace

document_sync::document_sync(event_loop& loop, store_client& store,
                             document_table& documents, std::string site,
                             std::function<bool()> is_watcher)
    : loop_(loop),
      store_(store),
      documents_(documents),
      site_(std::move(site)),
      is_watcher_(std::move(is_watcher)) {}

void document_sync::Start() { Watch(); }

void document_sync::Watch() {
  if (!is_watcher_()) {
    loop_.After(kRetryAfter, [this] { Watch(); });
    return;
  }
  // Claims have keys of their own and would flood a watch of the whole site.
  store_.Watch(site_ + ".doc.", after_,
               [this](const store_reply& reply) { OnWatch(reply); });
}

void document_sync::OnWatch(const store_reply& reply) {
  const bool up = reply.outcome == store_outcome::kOk;
  if (up != store_up_) {
    LogOf("store")->info(up ? "The store answers." : "The store is away.");
  }
  store_up_ = up;
  if (!up) {
    // The store may come back with older content, and lower revisions.
    after_ = 0;
    loop_.After(kRetryAfter, [this] { Watch(); });
    return;
  }
  after_ = reply.revision;
  for (const auto& object : reply.objects) {
    for (const char* name : kDocuments) {
      if (object.key != site_ + ".doc." + name) continue;
      documents_.Offer({name, ContentVersion(object.content), object.content});
    }
  }
  loop_.Post([this] { Watch(); });
}

}  // namespace basilhoist
