// Sends one request to one service, with hedged sends and retries.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/dispatch/dispatcher.h"
#include "basilhoist/dispatch/outbound_request.h"
#include "basilhoist/dispatch/rejection_pacing.h"
#include "basilhoist/dispatch/relay_candidates.h"
#include "basilhoist/dispatch/replica_choice.h"
#include "basilhoist/dispatch/reply_check.h"
#include "basilhoist/dispatch/retry_schedule.h"
#include "basilhoist/dispatch/sends_in_flight.h"

namespace basilhoist {

/// Result of a service_call.
struct call_result {
  send_outcome outcome = send_outcome::kNeverSent;
  /// The server's reply, if the outcome is kAnswer or kServerFailure.
  backend_reply reply;
  /// Whether any server may have run the request.
  bool may_have_run = false;
  /// Delay after which a retry may succeed, if the request has not run.
  microseconds retry_after{0};
  unsigned sends = 0;
  /// Further sends were suppressed because the request crashes servers.
  bool contained = false;
  /// All servers reject requests, so that no answer before the objective is to
  /// be expected.
  bool rejected = false;
};

/// Sends a request to one server of a service, and to further servers if the
/// first one fails or is slow.
class service_call : public std::enable_shared_from_this<service_call> {
 public:
  using done_handler = std::function<void(call_result)>;

  service_call(dispatcher& the_dispatcher,
               std::shared_ptr<const outbound_request> request,
               std::string service, done_handler done);

  /// Starts the call. If no server accepts the request, the handler may be
  /// called before this returns.
  void Start();

  /// Starts the call after the loss of a relay that may have sent the request
  /// to the service. The first send counts as an extra send.
  void StartAfterRelayLoss();

  /// Ends the call without calling the handler. Closes the connections of sends
  /// in flight.
  void Cancel();

  /// Ends the call without calling the handler. Sends in flight may complete
  /// within a short time, so that their connections stay usable.
  void Detach();

  [[nodiscard]] const std::string& Service() const { return service_; }
  [[nodiscard]] bool Answered() const { return answered_; }
  [[nodiscard]] unsigned Sends() const { return sends_; }

  /// @return the age of the oldest send in flight; 0 if there is none
  [[nodiscard]] microseconds OldestSendAge(instant now) const {
    return in_flight_.OldestAge(now);
  }

 private:
  enum class send_attempt : std::uint8_t {
    kSent,
    kRetryLater,  // as retries_ says
    kNotPossible,
  };
  enum class send_kind : std::uint8_t { kFirstOrRetry, kHedged };

  // Sends to the best server that is not blocked, unless a limit forbids it.
  send_attempt TrySend(send_kind kind);
  void SendTo(const listed_server_ptr& server, bool extra);
  // Checks the limits on sends and servers, the deadline, and whether the
  // request has been withdrawn.
  [[nodiscard]] bool MaySend();
  // Adds the servers that may get the request now; notes when others may.
  void FindReplicas(std::vector<listed_server_ptr>& servers,
                    std::vector<replica_candidate>& replicas, instant now);
  // Returns the servers that the store and their versions allow.
  [[nodiscard]] std::vector<listed_server_ptr> UsableServers() const;
  // Returns the servers from which this call chooses.
  [[nodiscard]] std::vector<listed_server_ptr> CandidateServers() const;
  // Returns whether one more server, of a version that is judged, is within the
  // limit on servers.
  [[nodiscard]] bool MayJudgeVersion() const;
  // If nothing is in flight: sends, waits for a blocked server, or finishes.
  void SendOrFinish();
  void ArmHedgeTimer();
  void StartHedgeTimer(instant when);
  void OnHedgeTimer();
  /// @return when to decide again about the hedged send; `now` to make it now
  [[nodiscard]] instant HedgeTimeOf(const pending_send& pending,
                                    instant now) const;
  [[nodiscard]] microseconds TypicalLatency() const;
  void OnSendEnd(std::uint64_t number, backend_reply reply);
  void Finish(call_result result);
  // Counts a call that is ended without a result after its objective.
  void CountLate();
  // Cancels the timers; abandons sends in flight after the linger time.
  void AbandonAfterLinger();
  // Returns whether servers reject a single request and are not expected to
  // accept it before its objective.
  [[nodiscard]] bool IsRejected(instant now) const;
  void FinishRejected();
  [[nodiscard]] rejected_call RejectedCallAt(const listed_server& server,
                                             instant now) const;
  // Returns until when to wait for a server instead of giving up.
  [[nodiscard]] std::optional<instant> WaitForServer(instant now);
  // Returns when a server that rejected the request may be tried again; the
  // deadline if not in time.
  [[nodiscard]] instant RetryTimeAfterRejection(const listed_server& server,
                                                instant now) const;
  void LogNotSent() const;
  void LogFailure(const pending_send& ended, send_outcome outcome,
                  const backend_reply& reply) const;
  /// @return whether the newest routing table still holds the request's key
  [[nodiscard]] bool KeyIsValid() const;

  dispatcher& dispatcher_;
  std::shared_ptr<const outbound_request> request_;
  std::string service_;
  std::uint64_t service_hash_;
  done_handler done_;
  sends_in_flight in_flight_;
  std::set<std::uint64_t> tried_;  // keys of servers that may have run it
  call_result last_result_;
  unsigned sends_ = 0;
  retry_schedule retries_;
  bool reached_ = false;  // a server may have the request: next send is extra
  bool finished_ = false;
  bool answered_ = false;
  timer_id hedge_timer_ = 0;
  timer_id retry_timer_ = 0;
};

}  // namespace basilhoist
