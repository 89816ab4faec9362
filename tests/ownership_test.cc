// Ownership: at no instant may two instances send to one backend server,
// whatever is lost, delayed, doubled, frozen or restarted.
#include "basilhoist/member/ownership.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>

namespace {

using basilhoist::heartbeat;
using basilhoist::instant;
using basilhoist::member;
using basilhoist::member_view;
using basilhoist::microseconds;
using basilhoist::milliseconds;
using basilhoist::owned_server;
using basilhoist::ownership;
using basilhoist::ownership_options;

const instant kStart{milliseconds(1000000)};
constexpr microseconds kStep = milliseconds(50);
const std::vector<owned_server> kServers{
    {"s1", "d0"}, {"s2", "d1"}, {"s3", "d2"}};

member MakeMember(int number, std::uint64_t incarnation) {
  return {.name = "m" + std::to_string(number),
          .incarnation = incarnation,
          .failure_domain = "d" + std::to_string(number % 3)};
}

struct mail {
  instant arrives;
  std::string to;
  heartbeat beat;
};

struct process {
  member self;
  std::unique_ptr<ownership> owners;
  instant frozen_until;
  instant last_beat;
  // What it sent and may still be running on a server: until this instant.
  std::map<std::string, instant> running_until;
};

// A few members, a store that holds one view, and mail in between.
class world {
 public:
  explicit world(int count) {
    for (int i = 0; i < count; ++i) Restart(i);
    stored_ = {.epoch = 1};
    for (const auto& each : all_) stored_.members.push_back(each.self);
    for (auto& each : all_) each.owners->OnView(stored_, now_);
  }

  void Restart(int number) {
    process fresh{.self = MakeMember(number, ++incarnation_)};
    fresh.owners = std::make_unique<ownership>(fresh.self, ownership_options{});
    if (static_cast<std::size_t>(number) < all_.size()) {
      fresh.running_until = all_[number].running_until;
      all_[number] = std::move(fresh);
    } else {
      all_.push_back(std::move(fresh));
    }
  }

  void Freeze(int number, microseconds span) {
    all_[number].frozen_until = now_ + span;
  }

  void SetCut(int a, int b, bool cut) {
    if (cut) {
      cuts_.insert({a, b});
      cuts_.insert({b, a});
    } else {
      cuts_.erase({a, b});
      cuts_.erase({b, a});
    }
  }

  void SetLoss(int percent) { loss_percent_ = percent; }

  void Retire(int number) {
    process& each = all_[number];
    for (const auto& [name, until] : each.running_until) {
      if (until > now_) return;
    }
    if (!Frozen(each)) each.owners->Retire(kServers, now_);
  }

  // A new view through the store, proposed by a settled member.
  void Propose(int by, const std::set<int>& without) {
    process& proposer = all_[by];
    if (Frozen(proposer) || !proposer.owners->Settled()) return;
    if (proposer.owners->View().epoch != stored_.epoch) return;
    member_view next{.epoch = stored_.epoch + 1, .previous = stored_.members};
    for (int i = 0; i < static_cast<int>(all_.size()); ++i) {
      if (!without.contains(i)) next.members.push_back(all_[i].self);
    }
    if (next.members.empty()) return;
    std::sort(next.members.begin(), next.members.end());
    stored_ = next;
  }

  // The newest view reaches a process from the store or from a peer.
  void Deliver(int to) {
    if (!Frozen(all_[to])) all_[to].owners->OnView(stored_, now_);
  }

  void Step() {
    now_ = now_ + kStep;
    DeliverMail();
    for (auto& each : all_) {
      if (Frozen(each)) continue;
      each.owners->OnTime(now_);
      if (now_ - each.last_beat >= milliseconds(200)) SendBeats(each);
      for (const auto& server : each.owners->ToRelease()) {
        if (each.running_until[server] <= now_) each.owners->Release(server);
      }
    }
    CheckSends();
  }

  int Sends() const { return sends_; }
  instant Time() const { return now_; }
  ownership& At(int number) { return *all_[number].owners; }

 private:
  bool Frozen(const process& each) const { return each.frozen_until > now_; }

  int IndexOf(const std::string& name) const {
    for (int i = 0; i < static_cast<int>(all_.size()); ++i) {
      if (all_[i].self.name == name) return i;
    }
    return -1;
  }

  void SendBeats(process& from) {
    from.last_beat = now_;
    for (const auto& to : all_) {
      if (to.self.name == from.self.name) continue;
      if (cuts_.contains({IndexOf(from.self.name), IndexOf(to.self.name)})) {
        continue;
      }
      if (*rc::gen::inRange(0, 100) < loss_percent_) continue;
      const heartbeat beat = from.owners->MakeHeartbeat(to.self.name, now_);
      const int copies = *rc::gen::inRange(0, 10) == 0 ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        const auto delay = milliseconds(*rc::gen::inRange(1, 400));
        mail_.push_back({now_ + delay, to.self.name, beat});
      }
    }
  }

  void DeliverMail() {
    std::vector<mail> kept;
    for (auto& each : mail_) {
      process& to = all_[IndexOf(each.to)];
      if (each.arrives > now_ || Frozen(to)) {
        kept.push_back(each);
      } else {
        to.owners->OnHeartbeat(each.beat, now_);
      }
    }
    mail_ = kept;
  }

  // Every process sends wherever it may. What was sent runs for up to the
  // longest attempt, also when its sender dies or freezes.
  void CheckSends() {
    for (const auto& server : kServers) {
      for (auto& each : all_) {
        if (Frozen(each) || !each.owners->MaySend(server, now_)) continue;
        for (const auto& other : all_) {
          if (other.self.name == each.self.name) continue;
          const auto found = other.running_until.find(server.name);
          const bool overlaps =
              found != other.running_until.end() && found->second > now_;
          RC_ASSERT(!overlaps);
        }
        ++sends_;
        const auto span = milliseconds(*rc::gen::inRange(1, 1000));
        auto& until = each.running_until[server.name];
        until = std::max(until, now_ + span);
      }
    }
  }

  instant now_ = kStart;
  std::uint64_t incarnation_ = 0;
  std::vector<process> all_;
  member_view stored_;
  std::vector<mail> mail_;
  std::set<std::pair<int, int>> cuts_;
  int loss_percent_ = 0;
  int sends_ = 0;
};

void Disturb(world& all, int count) {
  const int a = *rc::gen::inRange(0, count);
  const int b = *rc::gen::inRange(0, count);
  switch (*rc::gen::inRange(0, 9)) {
    case 0:
      all.Freeze(a, milliseconds(*rc::gen::inRange(100, 6000)));
      break;
    case 1:
      if (a != b) all.SetCut(a, b, true);
      break;
    case 2:
    case 3:
      if (a != b) all.SetCut(a, b, false);
      break;
    case 4:
      all.Restart(a);
      break;
    case 5:
      all.Propose(a, {b});
      break;
    case 6:
      all.Propose(a, {});
      break;
    case 7:
      all.SetLoss(*rc::gen::inRange(0, 40));
      break;
    default:
      all.Retire(a);
      break;
  }
  for (int i = 0; i < count; ++i) {
    if (*rc::gen::inRange(0, 3) > 0) all.Deliver(i);
  }
}

}  // namespace

RC_BOOST_PROP(NoTwoOwnersWhateverHappens, ()) {
  const int count = *rc::gen::inRange(2, 6);
  world all(count);
  for (int round = 0; round < 40; ++round) {
    if (*rc::gen::inRange(0, 3) == 0) Disturb(all, count);
    const int steps = *rc::gen::inRange(1, 20);
    for (int i = 0; i < steps; ++i) all.Step();
  }
}

RC_BOOST_PROP(EveryServerHasAnOwnerWhenNothingHappens, ()) {
  world all(4);
  for (int i = 0; i < 20; ++i) all.Step();
  const int before = all.Sends();
  for (int i = 0; i < 10; ++i) all.Step();
  RC_ASSERT(all.Sends() - before == 10 * static_cast<int>(kServers.size()));
}

// A dead owner's servers have another owner within the 5 s that are promised.
RC_BOOST_PROP(ADeadOwnerIsSucceededWithinFiveSeconds, ()) {
  world all(5);
  for (int i = 0; i < 20; ++i) all.Step();
  all.Freeze(*rc::gen::inRange(0, 5), milliseconds(60000));
  for (int i = 0; i < 100; ++i) all.Step();
  const int before = all.Sends();
  all.Step();
  RC_ASSERT(all.Sends() - before == static_cast<int>(kServers.size()));
}

BOOST_AUTO_TEST_CASE(AnInstanceCutFromAllMaySendNothing) {
  const member self = MakeMember(0, 1);
  ownership owners(self, {});
  member_view view{.epoch = 1,
                   .members = {self, MakeMember(1, 2), MakeMember(2, 3)}};
  owners.OnView(view, kStart);
  BOOST_TEST(!owners.MaySend(kServers[0], kStart + milliseconds(10)));
}

BOOST_AUTO_TEST_CASE(ARetiredOwnerIsSucceededAtOnce) {
  std::vector<member> members{MakeMember(0, 1), MakeMember(1, 2),
                              MakeMember(2, 3)};
  const member_view view{.epoch = 1, .members = members};
  std::vector<ownership> all;
  for (const auto& each : members) all.emplace_back(each, ownership_options{});
  for (auto& each : all) each.OnView(view, kStart);
  instant now = kStart;
  const auto exchange = [&] {
    for (int round = 0; round < 2; ++round) {
      now = now + milliseconds(10);
      for (auto& from : all) {
        for (auto& to : all) {
          if (&from == &to) continue;
          to.OnHeartbeat(from.MakeHeartbeat(to.Self().name, now), now);
        }
      }
    }
  };
  exchange();
  const owned_server& server = kServers[0];
  BOOST_TEST(all[0].MaySend(server, now));
  all[0].Retire(kServers, now);
  exchange();
  BOOST_TEST(!all[0].MaySend(server, now));
  const int owners = static_cast<int>(all[1].MaySend(server, now)) +
                     static_cast<int>(all[2].MaySend(server, now));
  BOOST_TEST(owners == 1);
}
