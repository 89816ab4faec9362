// Gathers sub-requests of one turn into one batch for each owner.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "basilhoist/link/messages.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// Sends batches and cancels to owners by name.
class owner_channel {
 public:
  virtual ~owner_channel() = default;

  /// @return whether there was a link to the owner
  virtual bool SendBatch(const std::string& owner,
                         const subrequest_batch& batch) = 0;
  virtual void SendCancels(const std::string& owner,
                           const cancel_batch& cancels) = 0;
};

/// Batches what goes the same way.
class request_outbox {
 public:
  /// @param on_unsent called for each sub-request that had no link
  request_outbox(event_loop& loop, owner_channel& channel,
                 std::function<void(std::uint64_t id)> on_unsent);

  void Add(const std::string& owner, subrequest request,
           const std::shared_ptr<const request_payload>& payload);
  void AddCancel(const std::string& owner, std::uint64_t id);

 private:
  struct pending {
    subrequest_batch batch;
    // Holds the payloads: a freed one's address could be another request's.
    std::unordered_map<std::shared_ptr<const request_payload>, std::uint32_t>
        payload_at;
    cancel_batch cancels;
  };

  void PostFlush();
  void Flush();

  event_loop& loop_;
  owner_channel& channel_;
  std::function<void(std::uint64_t)> on_unsent_;
  std::map<std::string, pending> pending_;
  bool flush_posted_ = false;
};

}  // namespace basilhoist
