// Pool of persistent connections to all backend servers.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "basilhoist/backend/backend_connection.h"
#include "basilhoist/memory/memory_budget.h"

namespace basilhoist {

/// Reuses idle connections to each server and opens new ones up to a limit.
class backend_pool : public request_sender {
 public:
  /// Idle time after which all connections to a server but the most recently
  /// used one are closed. An instance that loses power leaves its connections
  /// open on the server, where they count against the connection limit until
  /// the server's own timeout; few idle connections keep that number low.
  static constexpr milliseconds kSurplusIdleTimeout{600};

  /// Limit on the memory of all replies together that are being received. A
  /// small instance has 160 MB; a typical reply has a few kilobytes.
  static constexpr std::size_t kMaxTotalReplyBytes = 16U << 20U;
  /// Memory that each reply may use even if the total is exhausted.
  static constexpr std::size_t kReservedReplyBytes = 64U << 10U;

  /// @param memory counts the replies that are being received; may be null
  explicit backend_pool(event_loop& loop,
                        const memory_budget_ptr& memory = nullptr);

  std::uint64_t Send(const listed_server& server, unsigned max_connections,
                     bool fresh, backend_request request,
                     reply_handler done) override;
  [[nodiscard]] bool CanSend(const listed_server& server,
                             unsigned max_connections) const override;
  void CheckListening(const listed_server& server,
                      listen_check::handler done) override;
  void Abandon(std::uint64_t id) override;

  /// Closes the idle connections to a server that was removed from the
  /// directory. Busy ones are closed when their reply has arrived.
  void RemoveServer(const listed_server& server);

  /// @return number of connections opened since construction
  [[nodiscard]] std::uint64_t ConnectionsOpened() const { return opened_; }

 private:
  struct pooled_connection {
    std::uint64_t number = 0;
    std::uint64_t request = 0;  // id of the request in flight, or 0
    instant idle_since;
    std::unique_ptr<backend_connection> connection;
  };
  // Connections to one server, the most recently used last.
  struct server_connections {
    std::vector<pooled_connection> connections;
    bool removed = false;
  };

  pooled_connection* FindIdle(server_connections& pooled);
  pooled_connection& OpenConnection(const listed_server& server,
                                    server_connections& pooled);
  void OnReply(std::uint64_t server_key, std::uint64_t number);
  void CloseConnection(std::uint64_t server_key, std::uint64_t number);
  void CloseSurplus();

  event_loop& loop_;
  byte_budget reply_budget_{kMaxTotalReplyBytes, kReservedReplyBytes};
  std::optional<memory_share> reply_share_;
  std::unordered_map<std::uint64_t, server_connections> by_server_;
  // Identifies the connection that carries a request.
  struct connection_key {
    std::uint64_t server_key = 0;
    std::uint64_t number = 0;
  };
  std::unordered_map<std::uint64_t, connection_key> requests_;
  std::unordered_map<std::uint64_t, std::unique_ptr<listen_check>> checks_;
  std::uint64_t last_id_ = 0;
  std::uint64_t opened_ = 0;
};

}  // namespace basilhoist
