#include "basilhoist/entry/request_outbox.h"

#include <utility>

namespace basilhoist {

request_outbox::request_outbox(event_loop& loop, owner_channel& channel,
                               std::function<void(std::uint64_t)> on_unsent)
    : loop_(loop), channel_(channel), on_unsent_(std::move(on_unsent)) {}

void request_outbox::Add(
    const std::string& owner, subrequest request,
    const std::shared_ptr<const request_payload>& payload) {
  pending& out = pending_[owner];
  const auto next = static_cast<std::uint32_t>(out.batch.payloads.size());
  const auto [found, fresh] = out.payload_at.emplace(payload, next);
  if (fresh) out.batch.payloads.push_back(*payload);
  request.payload = found->second;
  out.batch.items.push_back(std::move(request));
  PostFlush();
}

void request_outbox::AddCancel(const std::string& owner, std::uint64_t id) {
  pending_[owner].cancels.ids.push_back(id);
  PostFlush();
}

void request_outbox::PostFlush() {
  if (flush_posted_) return;
  flush_posted_ = true;
  loop_.Post([this] { Flush(); });
}

void request_outbox::Flush() {
  flush_posted_ = false;
  auto ready = std::move(pending_);
  pending_.clear();
  for (const auto& [owner, out] : ready) {
    if (!out.cancels.ids.empty()) channel_.SendCancels(owner, out.cancels);
    if (out.batch.items.empty()) continue;
    if (channel_.SendBatch(owner, out.batch)) continue;
    for (const auto& item : out.batch.items) on_unsent_(item.id);
  }
}

}  // namespace basilhoist
