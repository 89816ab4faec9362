// Internal state of the HTTP server: its listening socket and its connections.
// Only the server's own sources include it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "basilhoist/http/http_server.h"

namespace basilhoist {

/// State of a server, shared by its connections.
struct http_server::state : public memory_holder {
  class connection;
  class exchange;
  using connection_ptr = std::shared_ptr<connection>;
  using connection_list = std::list<connection_ptr>;

  /// What a connection does. Each phase has a list, in the order in which the
  /// connections entered it.
  enum class phase : std::uint8_t {
    kIdle,      ///< Waits for the first byte of a request.
    kHead,      ///< Receives the head of a request.
    kBody,      ///< Receives the body of a request.
    kHandling,  ///< Waits for the reply of the handler.
    kReplying,  ///< Sends a reply.
    kDraining,  ///< Discards what arrives, so that the caller can read the last
                ///< reply before the connection is closed.
    kClosed,
  };
  static constexpr std::size_t kPhaseCount = 7;
  /// Bytes that are read at a time.
  static constexpr std::size_t kReadBytes = std::size_t{64} << 10U;

  event_loop& loop;
  http_server_options options;
  http_handler handler;
  int listen_fd = -1;
  fd_watch listen_watch;
  bool accepting = false;  ///< Whether the listening socket is watched.
  timer_id accept_timer = 0;
  timer_id overdue_timer = 0;
  bool send_posted = false;
  bool close_after_replies = false;
  std::size_t unsent_replies = 0;
  std::array<connection_list, kPhaseCount> by_phase;
  /// Connections whose handler has replied; they are sent in one turn.
  std::vector<connection_ptr> replied;
  std::array<std::uint64_t, kCloseReasonCount> closed_by_reason{};
  /// Expires with the server, for functions that are posted to the event loop.
  std::shared_ptr<state*> self = std::make_shared<state*>(this);
  /// Receives the bytes of one read of any connection.
  std::unique_ptr<std::array<char, kReadBytes>> scratch;

  state(event_loop& the_loop, http_server_options the_options,
        http_handler the_handler);
  ~state() override;

  [[nodiscard]] connection_list& In(phase value) {
    return by_phase.at(static_cast<std::size_t>(value));
  }
  [[nodiscard]] const connection_list& In(phase value) const {
    return by_phase.at(static_cast<std::size_t>(value));
  }

  /// @return the number of open connections
  [[nodiscard]] std::size_t Connections() const;

  /// Watches the listening socket, unless too many connections are open.
  void ResumeAccepting();
  void AcceptWaiting();
  void PauseAccepting();
  void Accept(int fd);

  /// Closes the connection that has waited longest, unless all have waited for
  /// less than a second, to make room for another one.
  /// @return whether one was closed
  bool MakeRoom();

  /// Closes connections whose time has passed, and repeats this while any
  /// connection is open.
  void CloseOverdue();
  void ArmOverdueTimer();

  /// Sends the connection's reply in this turn of the event loop, once the
  /// handler that has made it has returned.
  void QueueReply(connection_ptr from);
  void SendReplies();

  /// Lets clients give way if their memory exceeds the budget.
  void EnforceBudget() { options.memory->Enforce(); }

  void CountClose(close_reason reason) {
    ++closed_by_reason.at(static_cast<std::size_t>(reason));
  }

  [[nodiscard]] http_reply ErrorReply(int status, std::string_view text) const;

  std::optional<instant> OldestWait(wait_kind kind) const override;
  std::size_t Waiting(wait_kind kind) const override;
  void EndOldestWait(wait_kind kind) override;

 private:
  /// @return the connection that has waited longest; null if none waits
  [[nodiscard]] connection_ptr Oldest(wait_kind kind) const;
  void CloseOverdueIn(phase value, microseconds limit, close_reason reason);
};

}  // namespace basilhoist
