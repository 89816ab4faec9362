// Tests that a few instances of each failure domain follow the store and all
// others receive its changes. Instances terminate, freeze and are cut off from
// the network; datagrams are lost, duplicated, delayed or pass one way only.
#include "basilhoist/knowledge/reader_role.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "basilhoist/knowledge/gossip_plan.h"
#include "basilhoist/knowledge/stalled_watch_detector.h"

namespace basilhoist {
namespace {

const instant kStart{std::chrono::seconds(1000)};
constexpr milliseconds kStep{100};
constexpr milliseconds kRound{500};
// Time from the start of all instances until their roles no longer change.
constexpr milliseconds kSettleTime{8000};
// A change must reach all instances within this time; the strictest of the
// users' requirements.
constexpr milliseconds kChangeBound{3000};

endpoint AddressOf(std::size_t index) {
  return {.address = "10.0.1." + std::to_string(index + 1), .port = 7000};
}

// One simulated instance: its peers, its role and the version that it holds.
struct test_instance {
  std::string domain;
  std::uint32_t permille = 120;
  std::optional<peer_table> table;  // Empty while it does not run.
  reader_role role;
  stalled_watch_detector watch_detector;
  std::uint64_t version = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t beat = 0;
  instant frozen_until;
  bool watch_stalled = false;  // The store answers, but sends no changes.
  bool store_fails = false;    // The store does not answer.
};

// Instances of several failure domains, a store that holds a version, and the
// network between them.
class simulated_fleet {
 public:
  simulated_fleet(std::size_t size, std::size_t domains, unsigned seed)
      : instances_(size), random_(seed), gossip_random_(seed) {
    for (std::size_t i = 0; i < size; ++i) {
      instances_[i].domain =
          std::string(1, static_cast<char>('a' + i % domains));
      instances_[i].permille = random_() % 5 == 0 ? 500 : 120;
      Start(i);
    }
  }

  // Starts an instance whose settings name the first three addresses. Instances
  // at these addresses may have terminated.
  void Start(std::size_t index) {
    test_instance& instance = instances_[index];
    instance.table.emplace(AddressOf(index), instance.permille);
    instance.role = {};
    instance.watch_detector = {};
    instance.version = 0;
    instance.frozen_until = {};
    ++instance.incarnation;
    for (std::size_t i = 0; i < 3; ++i) {
      instance.table->AddAddress(AddressOf(i), now_);
    }
  }

  void Terminate(std::size_t index) { instances_[index].table.reset(); }
  void Freeze(std::size_t index, milliseconds span) {
    instances_[index].frozen_until = now_ + span;
  }
  void CutOneWay(const std::string& from, const std::string& to) {
    cut_links_.insert({from, to});
  }
  void SetFaults(unsigned lost_percent, milliseconds max_delay) {
    lost_percent_ = lost_percent;
    max_delay_ = max_delay;
  }
  void ClearFaults() {
    SetFaults(0, milliseconds(0));
    cut_links_.clear();
    for (test_instance& instance : instances_) {
      instance.frozen_until = {};
      instance.watch_stalled = false;
      instance.store_fails = false;
    }
  }
  void WriteVersion() { ++store_version_; }

  void Run(milliseconds span) {
    for (milliseconds elapsed{0}; elapsed < span; elapsed += kStep) Step();
  }

  std::vector<test_instance>& Instances() { return instances_; }
  std::uint64_t StoreVersion() const { return store_version_; }

  std::size_t RunningCount() const {
    return static_cast<std::size_t>(
        std::count_if(instances_.begin(), instances_.end(),
                      [](const test_instance& instance) {
                        return instance.table.has_value();
                      }));
  }

  std::map<std::string, std::vector<const test_instance*>> Domains() const {
    std::map<std::string, std::vector<const test_instance*>> domains;
    for (const test_instance& instance : instances_) {
      if (instance.table) domains[instance.domain].push_back(&instance);
    }
    return domains;
  }

  std::size_t OutdatedCount() const {
    return static_cast<std::size_t>(std::count_if(
        instances_.begin(), instances_.end(),
        [this](const test_instance& instance) {
          return instance.table && instance.version < store_version_;
        }));
  }

 private:
  struct datagram {
    std::size_t to = 0;
    std::shared_ptr<const peer_state> state;
    instant due;
  };

  bool IsActive(const test_instance& instance) const {
    return instance.table && now_ >= instance.frozen_until;
  }

  void Step() {
    now_ = now_ + kStep;
    const bool periodic =
        (now_ - kStart).count() % microseconds(kRound).count() == 0;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (IsActive(instances_[i])) Act(i, periodic);
    }
    std::vector<datagram> due;
    std::erase_if(in_transit_, [&](datagram& sent) {
      const test_instance& to = instances_[sent.to];
      // A frozen instance reads the received datagrams when it resumes.
      if (sent.due > now_ || (to.table && now_ < to.frozen_until)) return false;
      due.push_back(std::move(sent));
      return true;
    });
    std::shuffle(due.begin(), due.end(), random_);
    for (const datagram& sent : due) Deliver(sent);
  }

  reader_counts Counts(std::size_t index) const {
    const test_instance& instance = instances_[index];
    return CountReaders(*instance.table,
                        {.address = AddressOf(index),
                         .failure_domain = instance.domain,
                         .processor_permille = instance.permille},
                        now_);
  }

  void Act(std::size_t index, bool periodic) {
    test_instance& instance = instances_[index];
    const bool was_reader = instance.role.IsReader();
    const bool is_reader = instance.role.Decide(Counts(index), now_);
    bool urgent = is_reader != was_reader;
    const bool receives_changes =
        !instance.watch_stalled && !instance.store_fails;
    if (is_reader && receives_changes && instance.version < store_version_) {
      instance.version = store_version_;
      urgent = true;
    }
    if (periodic) instance.table->RemoveExpired(now_, kRound);
    if (periodic || urgent) SendRound(index, urgent);
  }

  peer_state StateOf(std::size_t index, const std::string& preferred_domain,
                     bool only_preferred) {
    test_instance& instance = instances_[index];
    return {.incarnation = instance.incarnation,
            .beat = instance.beat,
            .address = Format(AddressOf(index)),
            .failure_domain = instance.domain,
            .processor_permille = instance.permille,
            .reads_store = instance.role.IsReader(),
            .store_answers = !instance.store_fails,
            .joining = Counts(index).readers == 0,
            .held = {{.revision = instance.version}},
            .told = ChooseReportedPeers(
                *instance.table, preferred_domain, only_preferred, 40,
                peer_table::kExpireAfter / 2, now_, gossip_random_)};
  }

  void SendRound(std::size_t index, bool urgent) {
    test_instance& instance = instances_[index];
    ++instance.beat;
    const gossip_targets targets = ChooseGossipTargets(
        *instance.table, {.failure_domain = instance.domain},
        instance.role.IsReader(), Counts(index).readers > 0, urgent,
        gossip_random_);
    const auto local = std::make_shared<const peer_state>(
        StateOf(index, instance.domain, false));
    for (const endpoint& to : targets.local) Send(index, to, local);
    const auto remote = std::make_shared<const peer_state>(
        StateOf(index, instance.domain, true));
    for (const endpoint& to : targets.remote) Send(index, to, remote);
  }

  void Send(std::size_t from, const endpoint& to,
            const std::shared_ptr<const peer_state>& state) {
    const std::size_t copies = random_() % 8 == 0 ? 2 : 1;
    const std::size_t target = IndexOf(to);
    if (target >= instances_.size() || IsCut(from, target)) return;
    for (std::size_t copy = 0; copy < copies; ++copy) {
      if (random_() % 100 < lost_percent_) continue;
      const milliseconds delay(
          random_() % static_cast<std::uint64_t>(max_delay_.count() + 1));
      in_transit_.push_back({target, state, now_ + delay});
    }
  }

  bool IsCut(std::size_t from, std::size_t to) const {
    return cut_links_.contains(
        {instances_[from].domain, instances_[to].domain});
  }

  void Deliver(const datagram& received) {
    test_instance& to = instances_[received.to];
    if (!to.table) return;
    const peer_state& state = *received.state;
    to.table->Receive(state, now_);
    const std::size_t from = IndexOf(ParseEndpoint(state.address));
    if (state.joining) {
      peer_state answer = StateOf(received.to, state.failure_domain, false);
      answer.joining = false;
      Send(received.to, AddressOf(from),
           std::make_shared<const peer_state>(std::move(answer)));
    }
    // A fetch needs the network in both directions.
    const std::uint64_t peer_version = state.held.front().revision;
    const bool connected =
        !IsCut(from, received.to) && !IsCut(received.to, from);
    const bool stalled = to.watch_detector.OnPeerRevision(
        {.own = to.version, .peer = peer_version}, now_);
    switch (ChooseCatchUp({.has_snapshot = to.version > 0,
                           .healthy = !to.store_fails,
                           .follows_store = to.role.IsReader()},
                          peer_version > to.version, stalled)) {
      case catch_up_action::kNothing:
        break;
      case catch_up_action::kListAgain:
        to.version = store_version_;
        break;
      case catch_up_action::kFetchFromPeer:
        if (!connected || !IsActive(instances_[from])) break;
        to.version = std::max(to.version, instances_[from].version);
    }
  }

  static std::size_t IndexOf(const endpoint& address) {
    return AddressNumber(address) - AddressNumber(AddressOf(0));
  }

  std::vector<test_instance> instances_;
  std::mt19937 random_;
  pcg32 gossip_random_;
  instant now_ = kStart;
  std::uint64_t store_version_ = 1;
  std::deque<datagram> in_transit_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  unsigned lost_percent_ = 0;
  milliseconds max_delay_{0};
};

void InjectRandomChange(simulated_fleet& fleet) {
  const auto index =
      *rc::gen::inRange(std::size_t{0}, fleet.Instances().size());
  const bool running = fleet.Instances()[index].table.has_value();
  switch (*rc::gen::inRange(0, 7)) {
    case 0:
      if (running && fleet.RunningCount() > 1) fleet.Terminate(index);
      return;
    case 1:
      fleet.Start(index);
      return;
    case 2:
      fleet.Freeze(index, milliseconds(*rc::gen::inRange(100, 9000)));
      return;
    case 3:
      fleet.Instances()[index].store_fails = true;
      return;
    case 4:
      fleet.Instances()[index].watch_stalled = true;
      return;
    case 5:
      fleet.CutOneWay("a", "b");
      return;
    default:
      fleet.WriteVersion();
  }
}

}  // namespace

RC_BOOST_PROP(AfterAnyFaultsFewFollowTheStoreAndAllReceiveChanges, ()) {
  simulated_fleet fleet(*rc::gen::inRange(std::size_t{1}, std::size_t{25}),
                        *rc::gen::inRange(std::size_t{1}, std::size_t{5}),
                        *rc::gen::arbitrary<unsigned>());
  fleet.SetFaults(*rc::gen::inRange(0U, 40U),
                  milliseconds(*rc::gen::inRange(0, 2000)));
  const int changes = *rc::gen::inRange(0, 12);
  for (int i = 0; i < changes; ++i) {
    std::vector<std::uint64_t> before;
    for (const test_instance& instance : fleet.Instances()) {
      before.push_back(instance.version);
    }
    InjectRandomChange(fleet);
    fleet.Run(milliseconds(*rc::gen::inRange(0, 30) * 100));
    // Only a restart may lower the version of an instance.
    for (std::size_t m = 0; m < before.size(); ++m) {
      const test_instance& instance = fleet.Instances()[m];
      RC_ASSERT(instance.version >= before[m] || instance.version == 0 ||
                instance.table.has_value());
    }
  }
  fleet.ClearFaults();
  fleet.Run(peer_table::kExpireAfter + milliseconds(5000));
  for (const auto& [name, instances] : fleet.Domains()) {
    const auto readers = static_cast<std::size_t>(std::count_if(
        instances.begin(), instances.end(), [](const test_instance* instance) {
          return instance->role.IsReader();
        }));
    RC_ASSERT(readers ==
              std::min(reader_role::kWantedReaders, instances.size()));
  }
  RC_ASSERT(fleet.OutdatedCount() == 0U);
  fleet.WriteVersion();
  fleet.Run(milliseconds(1000));
  RC_ASSERT(fleet.OutdatedCount() == 0U);
}

// All readers of a settled fleet terminate or freeze at the moment of a change.
// Other instances must take over early enough that the change still arrives
// within kChangeBound.
RC_BOOST_PROP(AChangeArrivesInTimeWhenAllReadersFail, ()) {
  const auto domains = *rc::gen::inRange(std::size_t{1}, std::size_t{4});
  simulated_fleet fleet(
      domains * *rc::gen::inRange(std::size_t{4}, std::size_t{10}), domains,
      *rc::gen::arbitrary<unsigned>());
  fleet.Run(kSettleTime);
  const bool freeze = *rc::gen::arbitrary<bool>();
  for (std::size_t i = 0; i < fleet.Instances().size(); ++i) {
    if (!fleet.Instances()[i].role.IsReader()) continue;
    if (freeze) {
      fleet.Freeze(i, milliseconds(60000));
    } else {
      fleet.Terminate(i);
    }
  }
  fleet.WriteVersion();
  fleet.Run(kChangeBound);
  for (const test_instance& instance : fleet.Instances()) {
    if (!instance.table || instance.frozen_until > kStart) continue;
    RC_ASSERT(instance.version == fleet.StoreVersion());
  }
}

// The store answers the readers of one domain but sends them no changes. They
// learn of the change from the readers of the other domains.
RC_BOOST_PROP(ReadersWithStalledWatchesCatchUpFromOtherDomains, ()) {
  simulated_fleet fleet(24, 4, *rc::gen::arbitrary<unsigned>());
  fleet.Run(kSettleTime);
  for (test_instance& instance : fleet.Instances()) {
    instance.watch_stalled = instance.domain == "a";
  }
  fleet.WriteVersion();
  fleet.Run(kChangeBound);
  RC_ASSERT(fleet.OutdatedCount() == 0U);
}

// While the store is unavailable to all instances, only a few per failure
// domain may call it.
RC_BOOST_PROP(AStoreOutageDoesNotCauseAStampede, ()) {
  simulated_fleet fleet(40, 2, *rc::gen::arbitrary<unsigned>());
  fleet.Run(kSettleTime);
  for (test_instance& instance : fleet.Instances()) instance.store_fails = true;
  fleet.Run(milliseconds(10000));
  for (const auto& [name, instances] : fleet.Domains()) {
    RC_ASSERT(std::count_if(instances.begin(), instances.end(),
                            [](const test_instance* instance) {
                              return instance->role.IsReader();
                            }) <=
              static_cast<std::ptrdiff_t>(reader_role::kMaxFollowing));
  }
}

BOOST_AUTO_TEST_CASE(AnInstanceThatReceivesFromNoReaderBecomesOne) {
  reader_role role;
  BOOST_TEST(!role.Decide({}, kStart));
  BOOST_TEST(role.Decide({}, kStart + reader_role::kTakeoverDelay));
}

BOOST_AUTO_TEST_CASE(TheFirstRankedInstancesReplaceMissingReaders) {
  reader_role first;
  reader_role later;
  const reader_counts as_first{.readers = 2, .following = 2, .idle_before = 0};
  const reader_counts as_later{.readers = 2, .following = 2, .idle_before = 5};
  first.Decide(as_first, kStart);
  later.Decide(as_later, kStart);
  const instant due = kStart + reader_role::kTakeoverDelay;
  BOOST_TEST(first.Decide(as_first, due));
  BOOST_TEST(!later.Decide(as_later, due));
  // Instances that rank before it may have terminated as well.
  BOOST_TEST(later.Decide(as_later, due + reader_role::kDelayPerInstance * 5));
}

BOOST_AUTO_TEST_CASE(AReaderStopsWhenEnoughReadersRankBeforeItForTheStopDelay) {
  reader_role role;
  role.Decide({}, kStart);
  role.Decide({}, kStart + reader_role::kTakeoverDelay);
  const reader_counts enough{.readers = 3, .readers_before = 3, .following = 3};
  const instant seen = kStart + milliseconds(5000);
  BOOST_TEST(role.Decide(enough, seen));
  // A moment with one reader less restarts the delay.
  BOOST_TEST(role.Decide({.readers = 2, .readers_before = 2}, seen + kStep));
  BOOST_TEST(role.Decide(enough, seen + kStep * 2));
  BOOST_TEST(role.Decide(enough, seen + reader_role::kStopDelay));
  BOOST_TEST(!role.Decide(enough, seen + kStep * 2 + reader_role::kStopDelay));
}

}  // namespace basilhoist
