#include "basilhoist/usage/usage_exchange.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "basilhoist/link/codec.h"

namespace basilhoist {
namespace {

std::uint64_t MagicOf(std::string_view bytes) {
  std::uint64_t magic = 0;
  if (bytes.size() >= sizeof magic) {
    std::memcpy(&magic, bytes.data(), sizeof magic);
  }
  return magic;
}

}  // namespace

usage_exchange::usage_exchange(event_loop& loop, const endpoint& self,
                               send_function send)
    : loop_(loop), send_(std::move(send)), limiter_(self, Now()) {}

void usage_exchange::SetMembers(usage_members members) {
  limiter_.SetMembers(std::move(members));
}

usage_decision usage_exchange::Admit(const workspace& sender,
                                     std::uint64_t version,
                                     microseconds patience) {
  const usage_decision decision =
      limiter_.Admit(sender, version, patience, Now());
  Schedule();
  return decision;
}

void usage_exchange::GiveBack(const std::string& workspace_name) {
  limiter_.GiveBack(workspace_name, Now());
}

bool usage_exchange::OnDatagram(std::string_view bytes) {
  const std::uint64_t magic = MagicOf(bytes);
  if (magic == usage_report::kMagic) {
    const auto report = Decode<usage_report>(bytes);
    if (!report) return false;
    limiter_.OnReport(*report, Now());
  } else if (magic == usage_answer::kMagic) {
    const auto answer = Decode<usage_answer>(bytes);
    if (!answer) return false;
    limiter_.OnAnswer(*answer, Now());
  } else {
    return false;
  }
  Schedule();
  return true;
}

void usage_exchange::Schedule() {
  const instant next = limiter_.NextSendAt();
  if (next == usage_allowance::kNever) return;
  const instant when = std::max(next, last_round_ + kMinInterval);
  if (timer_ != 0 && timer_at_ <= when) return;
  if (timer_ != 0) loop_.Cancel(timer_);
  timer_at_ = when;
  timer_ = loop_.At(when, [this] {
    timer_ = 0;
    SendRound();
  });
}

void usage_exchange::SendRound() {
  last_round_ = Now();
  for (const usage_datagram& datagram : limiter_.TakeDatagrams(last_round_)) {
    const std::string bytes =
        datagram.report ? Encode(*datagram.report) : Encode(*datagram.answer);
    bytes_sent_ += bytes.size();
    send_(datagram.to, bytes);
  }
  Schedule();
}

}  // namespace basilhoist
