// The sends of one call that have no reply yet.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilhoist/dispatch/dispatcher.h"
#include "basilhoist/dispatch/outbound_request.h"

namespace basilhoist {

/// A send without a reply.
struct pending_send {
  std::uint64_t number = 0;  ///< Within the call, from 1.
  std::uint64_t id = 0;      ///< From request_sender::Send.
  listed_server_ptr server;
  std::uint64_t stats_key = 0;  ///< In server_stats.
  bool extra = false;           ///< Counts against the retry budget.
  instant sent_at;
};

/// Makes the sends of a call, and records what becomes of them for the
/// statistics of servers. Replies are recorded even if the call has ended.
class sends_in_flight {
 public:
  using reply_handler = std::function<void(backend_reply)>;

  /// Time for which a send may continue after its reply is no longer needed. A
  /// send that ends within it leaves its connection usable; after it the
  /// connection is closed.
  static constexpr milliseconds kLinger{250};

  sends_in_flight(dispatcher& the_dispatcher,
                  std::shared_ptr<const outbound_request> request,
                  const std::string& service);

  /// @param number of the send within the call
  /// @param extra whether it is a hedged send or a retry
  /// @param on_reply called with the reply after it has been recorded
  void Send(const listed_server_ptr& server, std::uint64_t number, bool extra,
            reply_handler on_reply);

  /// Removes a send that has ended.
  /// @return the send; nothing if it is not in flight any more
  std::optional<pending_send> Remove(std::uint64_t number);

  /// Gives up all sends and closes their connections.
  void AbandonAll();

  /// Reports to the detection of isolation that a send has no reply although
  /// one was expected.
  void ReportOverdue(const pending_send& pending) const;

  [[nodiscard]] bool Empty() const { return pending_.empty(); }
  [[nodiscard]] std::size_t Size() const { return pending_.size(); }
  [[nodiscard]] const pending_send& Oldest() const { return pending_.front(); }

  /// @return the age of the oldest send; 0 if there is none
  [[nodiscard]] microseconds OldestAge(instant now) const;

 private:
  void Abandon(const pending_send& pending);
  [[nodiscard]] microseconds TypicalLatency() const;
  [[nodiscard]] lost_send LostSendAt(const listed_server& server) const;
  [[nodiscard]] std::string RequestHead(const listed_server& server) const;

  dispatcher& dispatcher_;
  std::shared_ptr<const outbound_request> request_;
  std::string service_;
  std::uint64_t service_hash_;
  std::vector<pending_send> pending_;
};

}  // namespace basilhoist
