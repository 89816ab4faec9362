// Handles requests that isolated instances hand over to this one.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "basilhoist/http/http_exchange.h"
#include "basilhoist/link/frame_link.h"
#include "basilhoist/memory/memory_budget.h"

namespace basilhoist {

/// Options of a handover_server.
struct handover_server_options {
  /// Limit on the requests that are handled at a time; further ones are
  /// rejected, so that they do not take the time of this instance's own
  /// callers.
  std::size_t max_requests = 32;
  /// Counts the requests and limits them; may be null.
  memory_budget_ptr memory = nullptr;
};

/// Passes requests that are handed over to the handler of callers' requests and
/// returns the answers.
class handover_server {
 public:
  /// @param handler called with each accepted request
  /// @param accepts whether this instance can handle requests of others now
  handover_server(event_loop& loop, handover_server_options options,
                  http_handler handler, std::function<bool()> accepts)
      : loop_(loop),
        options_(std::move(options)),
        handler_(std::move(handler)),
        accepts_(std::move(accepts)) {}

  /// Handles a frame from an instance that hands requests over to this one.
  void OnFrame(const std::shared_ptr<frame_link>& link, frame_kind kind,
               std::string_view bytes);

  /// Cancels the requests received over a link that has closed.
  void OnDisconnect(const frame_link* link);

 private:
  class exchange;
  // Ids are chosen by the sender and unique only on its link.
  using request_key = std::pair<const frame_link*, std::uint64_t>;

  void Accept(const std::shared_ptr<frame_link>& link,
              handover_request request);
  void Cancel(const request_key& key);

  event_loop& loop_;
  handover_server_options options_;
  http_handler handler_;
  std::function<bool()> accepts_;
  std::map<request_key, std::shared_ptr<exchange>> active_;
};

}  // namespace basilhoist
