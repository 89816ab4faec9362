// Checks whether this instance reaches the backend servers.
#pragma once

#include <functional>
#include <pcg_random.hpp>
#include <vector>

#include "basilhoist/backend/request_sender.h"
#include "basilhoist/dispatch/isolation_detector.h"
#include "basilhoist/loop/event_loop.h"

namespace basilhoist {

/// Connects to a sample of servers when others cannot be reached. A refused
/// connection proves that a server has terminated only if this instance reaches
/// others: a partition may refuse connections as well.
class isolation_monitor {
 public:
  struct handlers {
    /// Called when an instance becomes isolated, and when it no longer is.
    std::function<void(bool isolated)> on_change;
    /// Called with a server that refused a connection while others accept them.
    std::function<void(const listed_server&)> on_terminated;
  };

  isolation_monitor(event_loop& loop, request_sender& sender,
                    const server_directory& directory, std::uint64_t seed,
                    handlers on);

  /// Called when no connection to a server could be established.
  void OnConnectFailed(const listed_server& server);

  /// Called when a server replies.
  void OnReply() { detector_.OnReply(Now()); }

  /// Called when the reply to a request that was sent at a time is overdue.
  void OnOverdue(const listed_server& server, instant sent_at);

  /// Called when a server's host refused a connection.
  void OnRefused(const listed_server_ptr& server);

  void OnChange(std::function<void(bool)> handler) {
    on_.on_change = std::move(handler);
  }

  /// @return whether this instance reaches no backend server
  [[nodiscard]] bool Isolated() const { return detector_.Isolated(); }

 private:
  struct sample_state {
    link_sample result;
    std::size_t pending = 0;
    std::vector<listed_server_ptr> refused;  // wait for this sample
  };

  void SampleIfWanted();
  void TakeSample();
  void OnChecked(listen_state found);
  void FinishSample();
  [[nodiscard]] std::vector<listed_server_ptr> ChooseSample();

  event_loop& loop_;
  request_sender& sender_;
  const server_directory& directory_;
  pcg32 random_;
  handlers on_;
  isolation_detector detector_;
  bool sampling_ = false;
  sample_state sample_;
  std::vector<listed_server_ptr> refused_;  // wait for the next sample
};

}  // namespace basilhoist
