// Works on requests that other instances relay through this one.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "basilhoist/dispatch/service_call.h"
#include "basilhoist/link/frame_link.h"

namespace basilhoist {

/// Sends the shards of relayed requests and returns merged parts.
class relay_server {
 public:
  explicit relay_server(dispatcher& shared);
  ~relay_server();

  /// A frame of an instance that relays through this one.
  void OnFrame(const std::shared_ptr<frame_link>& link, frame_kind kind,
               std::string_view bytes);

  /// The link broke: nobody waits for its requests any more.
  void OnGone(const frame_link* link);

  [[nodiscard]] std::size_t InFlight() const { return active_.size(); }

 private:
  class work;
  using work_key = std::pair<const frame_link*, std::uint64_t>;

  void Begin(const std::shared_ptr<frame_link>& link,
             const relay_request& request);
  void Cancel(const work_key& key);

  dispatcher& shared_;
  std::map<work_key, std::shared_ptr<work>> active_;
};

}  // namespace basilhoist
