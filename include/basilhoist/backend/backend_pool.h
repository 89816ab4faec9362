// Connections to all backend servers, kept warm and within their limits.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "basilhoist/backend/backend_connection.h"

namespace basilhoist {

/// Keeps connections to each server and opens new ones up to a limit.
class backend_pool : public request_sender {
 public:
  /// All idle connections of a server but one close after so long. A machine
  /// that loses power leaves its connections behind, and they count against
  /// the server's limit until the server's own timeout.
  static constexpr milliseconds kSurplusIdleTimeout{600};

  /// Replies that are being read may use so much memory in all, and each one
  /// so much in any case; a small machine has 160 MB. Usual replies have some
  /// kilobytes.
  static constexpr std::size_t kMaxTotalReplyBytes = 16U << 20U;
  static constexpr std::size_t kReservedReplyBytes = 64U << 10U;

  explicit backend_pool(event_loop& loop);

  std::uint64_t Send(const listed_server& server, unsigned most, bool fresh,
                     backend_request request, reply_handler done) override;
  [[nodiscard]] bool CanSend(const listed_server& server,
                             unsigned most) const override;
  void CheckListening(const listed_server& server,
                      listen_check::handler done) override;
  void Abandon(std::uint64_t id) override;

  /// Closes idle connections to a server that is gone; busy ones close when
  /// their reply is in.
  void RemoveServer(const listed_server& server);

  /// @return connections opened so far
  [[nodiscard]] std::uint64_t ConnectionsOpened() const { return opened_; }

 private:
  struct link {
    std::uint64_t number = 0;
    std::uint64_t request = 0;
    instant idle_since;
    std::unique_ptr<backend_connection> connection;
  };
  struct server_links {
    std::vector<link> links;
    bool gone = false;
  };

  link* TakeIdle(server_links& links);
  link& OpenLink(const listed_server& server, server_links& links);
  void OnReply(std::uint64_t server_key, std::uint64_t number);
  void Remove(std::uint64_t server_key, std::uint64_t number);
  void CloseSurplus();

  event_loop& loop_;
  byte_budget replies_{kMaxTotalReplyBytes, kReservedReplyBytes};
  std::unordered_map<std::uint64_t, server_links> by_server_;
  // Request to server key and link number.
  struct place {
    std::uint64_t server_key = 0;
    std::uint64_t number = 0;
  };
  std::unordered_map<std::uint64_t, place> requests_;
  std::unordered_map<std::uint64_t, std::unique_ptr<listen_check>> checks_;
  std::uint64_t last_id_ = 0;
  std::uint64_t opened_ = 0;
};

}  // namespace basilhoist
