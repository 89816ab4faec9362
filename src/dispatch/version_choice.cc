// How the dispatcher treats servers of different versions.
#include "basilhoist/dispatch/dispatcher.h"

namespace basilhoist {
namespace {

// What a send shows of the server's version; nothing if it has not run.
std::optional<version_result> VersionResultOf(send_outcome outcome,
                                              const backend_reply& reply) {
  switch (outcome) {
    case send_outcome::kAnswer:
      return version_result::kAnswered;
    case send_outcome::kServerFailure:
      return version_result::kFailed;
    case send_outcome::kUnclear:
      return reply.error == exchange_error::kBroken ? version_result::kBroken
                                                    : version_result::kFailed;
    case send_outcome::kShed:
    case send_outcome::kWrongServer:
    case send_outcome::kNeverSent:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

bool dispatcher::IsVersionHeld(const listed_server& server, instant now) const {
  return rollouts != nullptr &&
         rollouts->PermitOf(server, now) == version_permit::kHeld;
}

listed_server_ptr dispatcher::ServerToJudge(const std::string& service,
                                            unsigned connections,
                                            instant now) const {
  if (rollouts == nullptr || !rollouts->IsJudging(service)) return nullptr;
  for (const listed_server_ptr& server : directory.ServersOf(service)) {
    if (rollouts->PermitOf(*server, now) != version_permit::kPreferred) {
      continue;
    }
    if (Evaluate(*server, connections, now).AllowedAsLastResort()) {
      return server;
    }
  }
  return nullptr;
}

void dispatcher::RecordVersionResult(const listed_server& server,
                                     send_outcome outcome,
                                     const backend_reply& reply,
                                     std::uint64_t route, instant sent_at) {
  if (rollouts == nullptr || isolation.Isolated()) return;
  const auto result = VersionResultOf(outcome, reply);
  if (!result) return;
  const instant now = Now();
  rollouts->OnAnswer(
      server, {.route = route, .result = *result, .reply_time = now - sent_at},
      now);
}

// The server would have replied later than this.
void dispatcher::RecordUnanswered(const listed_server& server,
                                  std::uint64_t route, instant sent_at) {
  if (rollouts == nullptr || isolation.Isolated()) return;
  const instant now = Now();
  rollouts->OnAnswer(server, {.route = route, .reply_time = now - sent_at},
                     now);
}

}  // namespace basilhoist
