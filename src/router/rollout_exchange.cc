#include "basilhoist/router/rollout_exchange.h"

#include <cstring>
#include <set>
#include <utility>

#include "basilhoist/link/codec.h"
#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Returns whether a datagram begins with the magic number of a message.
template <typename message>
bool Is(std::string_view bytes) {
  std::uint64_t magic = 0;
  if (bytes.size() < sizeof magic) return false;
  std::memcpy(&magic, bytes.data(), sizeof magic);
  return magic == message::kMagic;
}

}  // namespace

rollout_exchange::rollout_exchange(event_loop& loop,
                                   rollout_controller& controller,
                                   object_store& store,
                                   const platform_binding& platform,
                                   send_function send)
    : loop_(loop),
      controller_(controller),
      store_(store),
      decoder_(platform.decoder),
      kind_(platform.kinds.rollouts),
      send_(std::move(send)) {}

void rollout_exchange::Start() {
  loop_.Every(rollout_controller::kReportPeriod, [this] {
    for (const rollout_datagram& each : controller_.TakeDatagrams(Now())) {
      Send(each);
    }
  });
  loop_.Every(kWritePeriod, [this] {
    for (const rollout_write& each : controller_.TakeWrites(Now())) {
      Write(each);
    }
  });
}

void rollout_exchange::OnOrders(const object_snapshot& snapshot) {
  std::vector<rollout_order> orders;
  std::set<std::string> malformed;
  for (const auto& [name, entry] : snapshot.objects) {
    if (auto order = decoder_->Rollout(entry)) {
      orders.push_back(std::move(*order));
    } else {
      malformed.insert(name);
    }
  }
  controller_.SetOrders(orders, snapshot.era, Now(), malformed);
}

bool rollout_exchange::OnDatagram(std::string_view bytes) {
  if (Is<rollout_report>(bytes)) {
    const auto report = Decode<rollout_report>(bytes);
    if (!report) return false;
    if (const auto notice = controller_.OnReport(*report, Now())) {
      Send(*notice);
    }
    return true;
  }
  if (!Is<rollout_notice>(bytes)) return false;
  const auto notice = Decode<rollout_notice>(bytes);
  if (notice) controller_.OnNotice(*notice, Now());
  return notice.has_value();
}

void rollout_exchange::Send(const rollout_datagram& datagram) {
  send_(datagram.to,
        datagram.report ? Encode(*datagram.report) : Encode(*datagram.notice));
}

// An answer that is lost or late is settled by the next write: its revision is
// no longer that of the object then.
void rollout_exchange::Write(const rollout_write& write) {
  const object status{.name = write.service,
                      .revision = write.revision,
                      .content = decoder_->EncodeRolloutStatus(
                          write.state, write.target_version)};
  store_.ReplaceStatus(
      kind_, status, [this, write](call_outcome outcome, const object& now) {
        event_line("rollout", "status_written")
            .With("service", write.service)
            .With("target_version", write.target_version)
            .With("state", Name(write.state))
            .With("revision", write.revision)
            .With("outcome", Name(outcome));
        controller_.OnWritten(write.service, Now());
        if (outcome == call_outcome::kOk) {
          OnObject(now);
        } else if (outcome == call_outcome::kConflict) {
          store_.Get(kind_, write.service,
                     [this](call_outcome read, const object& found) {
                       if (read == call_outcome::kOk) OnObject(found);
                     });
        }
      });
}

void rollout_exchange::OnObject(const object& entry) {
  if (const auto order = decoder_->Rollout(entry)) {
    controller_.OnOrder(*order, Now());
  }
}

}  // namespace basilhoist
