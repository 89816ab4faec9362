// One request at one service: sends, second sends, retries.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "basilhoist/dispatch/dispatcher.h"
#include "basilhoist/dispatch/reply_check.h"

namespace basilhoist {

/// What the calls of one request have in common.
struct outbound_request {
  /// Request line and headers that every server gets.
  std::string head;
  std::shared_ptr<const std::string> body;
  bool is_head_method = false;
  std::string request_id;
  std::string route_name;
  request_identity identity;
  /// Shared by the calls of the request.
  std::shared_ptr<request_answers> answers =
      std::make_shared<request_answers>();
  bool idempotent = false;
  unsigned max_attempts = 1;
  /// Failure domain of the relay that has the request, if one has. The relay
  /// and its sender may both send it; both keep to the same servers then, so
  /// that it reaches no more of them than the route allows.
  std::string relay_domain;
  microseconds objective{0};
  /// When the answer must be on its way for its full value.
  instant objective_at;
  instant deadline;
};

/// How a call ended.
struct call_result {
  send_outcome outcome = send_outcome::kNeverSent;
  /// The server's reply, for kAnswer and kServerFailure.
  backend_reply reply;
  /// Whether any server may have run the request.
  bool may_have_run = false;
  /// When it may be worth to come back, where it has not run.
  microseconds retry_after{0};
  unsigned sends = 0;
  /// Nothing more was sent because the request crashes servers.
  bool contained = false;
};

/// Sends to one server of the service, and to others where that helps.
class service_call : public std::enable_shared_from_this<service_call> {
 public:
  using done_handler = std::function<void(call_result)>;

  service_call(dispatcher& shared,
               std::shared_ptr<const outbound_request> request,
               std::string service, done_handler done);

  /// Begins; the handler may run inside if no server can take the request.
  void Start();

  /// Begins for a request that another instance may have sent to the service.
  void StartAfterRelayLoss();

  /// Ends the call without its handler and closes what is in flight.
  void Cancel();

  /// Ends the call without its handler. What is in flight may end by itself
  /// for a short time, which keeps its connections.
  void Detach();

  [[nodiscard]] const std::string& Service() const { return service_; }
  [[nodiscard]] bool Answered() const { return answered_; }
  [[nodiscard]] unsigned Sends() const { return sends_; }

  /// @return the age of the oldest send in flight, or 0
  [[nodiscard]] microseconds OldestSendAge(instant now) const;

 private:
  struct send {
    std::uint64_t number = 0;  // of this call, from 1
    std::uint64_t id = 0;      // of the sender
    listed_server_ptr server;
    std::uint64_t stats_key = 0;
    bool extra = false;  // counted in the retry budget
    instant since;
  };
  enum class attempt : std::uint8_t { kSent, kLater, kNever };

  attempt TrySend();
  void SendTo(const listed_server_ptr& server, bool extra);
  [[nodiscard]] bool MaySendMore() const;
  [[nodiscard]] std::vector<listed_server_ptr> Candidates() const;
  void Continue();
  void ArmSecondSend();
  void OnSecondSendDue();
  void OnSendEnd(std::uint64_t number, backend_reply reply);
  void Finish(call_result result);
  void Linger();
  void Drop(const send& each);
  void OnBarred(const send_decision& verdict, instant now);
  void LogNotSent() const;
  [[nodiscard]] lost_send LostAt(const listed_server& server) const;
  [[nodiscard]] std::string HeadFor(const listed_server& server) const;

  dispatcher& shared_;
  std::shared_ptr<const outbound_request> request_;
  std::string service_;
  std::uint64_t service_hash_;
  done_handler done_;
  std::vector<send> in_flight_;
  std::set<std::uint64_t> tried_;  // servers that may have run it
  call_result last_;
  unsigned sends_ = 0;
  bool reached_ = false;  // a server was reached, so the next send is extra
  bool finished_ = false;
  bool answered_ = false;
  instant soonest_;  // when the first of the barred servers may be tried
  std::array<unsigned, kSendBlockCount> bars_{};  // of the last try, by bar
  timer_id second_timer_ = 0;
  timer_id retry_timer_ = 0;
};

}  // namespace basilhoist
