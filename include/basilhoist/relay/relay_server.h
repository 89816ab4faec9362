// Executes batches of shards that other instances send through this one.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "basilhoist/dispatch/service_call.h"
#include "basilhoist/link/frame_link.h"
#include "basilhoist/memory/memory_budget.h"

namespace basilhoist {

/// Sends the shards of relayed requests to backend servers and returns merged
/// results.
class relay_server {
 public:
  /// @param memory counts the batches and limits them; may be null
  explicit relay_server(dispatcher& the_dispatcher,
                        memory_budget_ptr memory = nullptr);
  ~relay_server();

  /// Handles a frame from an instance that uses this one as a relay.
  void OnFrame(const std::shared_ptr<frame_link>& link, frame_kind kind,
               std::string_view bytes);

  /// Cancels the batches received over a link that has closed, since their
  /// results can no longer be returned.
  void OnDisconnect(const frame_link* link);

  /// @return the number of batches that have not ended
  [[nodiscard]] std::size_t InFlight() const { return active_.size(); }

 private:
  class batch_task;
  // Batch ids are chosen by the sender and unique only on its link.
  using batch_key = std::pair<const frame_link*, std::uint64_t>;

  void OnTerms(const frame_link* link, std::string_view bytes);
  void Accept(const std::shared_ptr<frame_link>& link, relay_request request);
  static void Reject(const std::shared_ptr<frame_link>& link,
                     const relay_request& request);
  void Cancel(const batch_key& key);

  dispatcher& dispatcher_;
  memory_budget_ptr memory_;
  std::map<batch_key, std::shared_ptr<batch_task>> active_;
  // The latest terms on each link, for the request that follows them.
  std::map<const frame_link*, relay_terms> terms_;
};

}  // namespace basilhoist
