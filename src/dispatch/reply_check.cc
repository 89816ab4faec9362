#include "basilhoist/dispatch/reply_check.h"

namespace basilhoist {
namespace {

constexpr int kMisdirected = 421;

}  // namespace

std::string_view Name(send_outcome value) {
  switch (value) {
    case send_outcome::kAnswer:
      return "answer";
    case send_outcome::kServerFailure:
      return "server_failure";
    case send_outcome::kShed:
      return "shed";
    case send_outcome::kWrongServer:
      return "wrong_server";
    case send_outcome::kNeverSent:
      return "never_sent";
    case send_outcome::kUnclear:
      return "unclear";
  }
  return "unknown";
}

bool IsKnownNotExecuted(send_outcome value) {
  return value == send_outcome::kShed || value == send_outcome::kWrongServer ||
         value == send_outcome::kNeverSent;
}

send_outcome ClassifyReply(const backend_reply& reply,
                           const header_names& names) {
  if (reply.error != exchange_error::kNone) {
    return reply.sent ? send_outcome::kUnclear : send_outcome::kNeverSent;
  }
  if (reply.status == kMisdirected) return send_outcome::kWrongServer;
  if (reply.Header(names.not_executed) != nullptr) return send_outcome::kShed;
  // Requests ask for bodies without a content encoding, so an encoded body was
  // not produced by the backend server.
  const std::string* encoding = reply.Header("Content-Encoding");
  if (encoding != nullptr && !SameHeader(*encoding, "identity")) {
    return send_outcome::kUnclear;
  }
  if (reply.status / 100 != 2) return send_outcome::kServerFailure;
  return reply.Header(names.signature) == nullptr ? send_outcome::kUnclear
                                                  : send_outcome::kAnswer;
}

}  // namespace basilhoist
