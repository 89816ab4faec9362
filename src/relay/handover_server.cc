#include "basilhoist/relay/handover_server.h"

#include <string>
#include <vector>

#include "basilhoist/backend/backend_reply.h"
#include "basilhoist/link/codec.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// The head is kept here, and twice by the handler for its sends to servers.
constexpr std::size_t kHeadCopies = 3;
// Memory of a header field besides its bytes.
constexpr std::size_t kFieldBytes = 2 * sizeof(std::string);

std::size_t MemoryOf(const handover_request& request) {
  std::size_t head = request.method.size() + request.target.size();
  for (const handover_header& header : request.headers) {
    head += kFieldBytes + header.name.size() + header.value.size();
  }
  return kHeadCopies * head + request.body.size();
}

std::shared_ptr<const std::string> TakeBody(handover_request& request,
                                            const memory_budget_ptr& memory) {
  const std::size_t bytes = MemoryOf(request);
  return CountedText(std::move(request.body), memory, bytes);
}

}  // namespace

// A request that is handed over as the handler of callers' requests sees it.
class handover_server::exchange : public http_exchange {
 public:
  exchange(std::weak_ptr<frame_link> link, handover_request request,
           const memory_budget_ptr& memory, std::function<void()> on_end)
      : link_(std::move(link)),
        request_(std::move(request)),
        body_(TakeBody(request_, memory)),
        path_(request_.target.substr(0, request_.target.find('?'))),
        on_end_(std::move(on_end)) {}

  const std::string& Method() const override { return request_.method; }
  const std::string& Path() const override { return path_; }
  const std::string& Target() const override { return request_.target; }
  const std::string& Body() const override { return *body_; }
  std::shared_ptr<const std::string> SharedBody() const override {
    return body_;
  }

  std::string Header(const char* name) const override {
    for (const handover_header& header : request_.headers) {
      if (SameHeader(header.name, name)) return header.value;
    }
    return {};
  }

  std::vector<http_header> Headers() const override {
    std::vector<http_header> headers;
    for (const handover_header& header : request_.headers) {
      headers.push_back({.name = header.name, .value = header.value});
    }
    return headers;
  }

  std::string Argument(const char*) const override { return {}; }
  std::string PeerAddress() const override { return {}; }
  bool FirstOnConnection() const override { return false; }

  void OnCallerClosed(std::function<void()> callback) override {
    on_caller_closed_ = std::move(callback);
  }

  void Reply(http_reply reply) override {
    if (!on_end_) return;
    handover_reply message{.id = request_.id,
                           .state = handover_state::kAnswered,
                           .status = reply.status,
                           .content_type = std::move(reply.content_type),
                           .body = std::move(reply.body)};
    for (http_header& header : reply.headers) {
      message.headers.push_back(
          {.name = std::move(header.name), .value = std::move(header.value)});
    }
    if (const auto link = link_.lock()) {
      link->Send(frame_kind::kHandoverReply, Encode(message));
    }
    on_caller_closed_ = nullptr;
    std::exchange(on_end_, nullptr)();
  }

  // Ends the request without an answer.
  void Cancel() {
    if (!on_end_) return;
    const auto on_end = std::exchange(on_end_, nullptr);
    if (on_caller_closed_) std::exchange(on_caller_closed_, nullptr)();
    on_end();
  }

 private:
  std::weak_ptr<frame_link> link_;
  handover_request request_;
  std::shared_ptr<const std::string> body_;
  std::string path_;
  std::function<void()> on_end_;
  std::function<void()> on_caller_closed_;
};

void handover_server::OnFrame(const std::shared_ptr<frame_link>& link,
                              frame_kind kind, std::string_view bytes) {
  if (kind == frame_kind::kHandover) {
    auto request = Decode<handover_request>(bytes);
    if (!request) {
      event_line("handover", "request_unreadable").With("bytes", bytes.size());
      return;
    }
    Accept(link, std::move(*request));
  } else if (kind == frame_kind::kHandoverCancel) {
    const auto cancel = Decode<handover_cancel>(bytes);
    if (cancel) Cancel({link.get(), cancel->id});
  }
}

void handover_server::Accept(const std::shared_ptr<frame_link>& link,
                             handover_request request) {
  const request_key key{link.get(), request.id};
  const bool fits =
      !options_.memory || options_.memory->MayHandle(MemoryOf(request));
  if (!fits) options_.memory->CountRefusal();
  const bool accepted =
      accepts_() && fits && active_.size() < options_.max_requests;
  link->Send(
      frame_kind::kHandoverReply,
      Encode(handover_reply{.id = request.id,
                            .state = accepted ? handover_state::kAccepted
                                              : handover_state::kRejected}));
  if (!accepted) return;
  const auto accepted_exchange =
      std::make_shared<exchange>(link, std::move(request), options_.memory,
                                 [this, key] { active_.erase(key); });
  active_[key] = accepted_exchange;
  // Posted, so that a cancellation or a close right behind the request is
  // handled first.
  loop_.Post([this, key] {
    const auto found = active_.find(key);
    if (found == active_.end()) return;
    const auto starting = found->second;  // erased from active_ when it ends
    handler_(starting);
  });
}

void handover_server::Cancel(const request_key& key) {
  const auto found = active_.find(key);
  if (found == active_.end()) return;
  const auto cancelled = found->second;  // erased from active_ when it ends
  cancelled->Cancel();
}

void handover_server::OnDisconnect(const frame_link* link) {
  std::vector<std::shared_ptr<exchange>> cancelled;
  for (const auto& [key, active] : active_) {
    if (key.first == link) cancelled.push_back(active);
  }
  for (const auto& each : cancelled) each->Cancel();
}

}  // namespace basilhoist
