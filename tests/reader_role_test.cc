// Few read the store and the others hear of it, while instances end, freeze and
// are cut off, and datagrams are lost, doubled, late and one-way.
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
// From the start of all instances until roles are settled.
constexpr milliseconds kSettle{8000};
// The least of the users' bounds for a change.
constexpr milliseconds kChangeBound{3000};

endpoint AddressOf(std::size_t number) {
  return {.address = "10.0.1." + std::to_string(number + 1), .port = 7000};
}

// One instance: its peers, its role, and the version that it knows.
struct member {
  std::string domain;
  std::uint32_t permille = 120;
  std::optional<peer_table> table;
  reader_role role;
  stalled_watch_detector watch_detector;
  std::uint64_t version = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t beat = 0;
  instant wakes;              // Frozen until then.
  bool store_silent = false;  // The store answers, but tells of no change.
  bool store_refuses = false;
};

// Members of several domains, a store that holds a version, and the network.
class fleet {
 public:
  fleet(std::size_t size, std::size_t domains, unsigned seed)
      : members_(size), random_(seed), draw_(seed) {
    for (std::size_t i = 0; i < size; ++i) {
      members_[i].domain = std::string(1, static_cast<char>('a' + i % domains));
      members_[i].permille = random_() % 5 == 0 ? 500 : 120;
      Start(i);
    }
  }

  // Knows three addresses as its settings name them, perhaps of ended members.
  void Start(std::size_t number) {
    member& each = members_[number];
    each.table.emplace(AddressOf(number), each.permille);
    each.role = {};
    each.watch_detector = {};
    each.version = 0;
    each.wakes = {};
    ++each.incarnation;
    for (std::size_t i = 0; i < 3; ++i)
      each.table->AddAddress(AddressOf(i), now_);
  }

  void End(std::size_t number) { members_[number].table.reset(); }
  void Freeze(std::size_t number, milliseconds span) {
    members_[number].wakes = now_ + span;
  }
  void CutOneWay(const std::string& from, const std::string& to) {
    cut_.insert({from, to});
  }
  void Disturb(unsigned lost_percent, milliseconds most_delay) {
    lost_percent_ = lost_percent;
    most_delay_ = most_delay;
  }
  void Calm() {
    Disturb(0, milliseconds(0));
    cut_.clear();
    for (member& each : members_) {
      each.wakes = {};
      each.store_silent = false;
      each.store_refuses = false;
    }
  }
  void Write() { ++store_version_; }

  void Run(milliseconds span) {
    for (milliseconds done{0}; done < span; done += kStep) Step();
  }

  std::vector<member>& Members() { return members_; }
  std::uint64_t StoreVersion() const { return store_version_; }

  std::size_t Running() const {
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(),
        [](const member& each) { return each.table.has_value(); }));
  }

  std::map<std::string, std::vector<const member*>> Domains() const {
    std::map<std::string, std::vector<const member*>> domains;
    for (const member& each : members_) {
      if (each.table) domains[each.domain].push_back(&each);
    }
    return domains;
  }

  std::size_t Behind() const {
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(), [this](const member& each) {
          return each.table && each.version < store_version_;
        }));
  }

 private:
  struct datagram {
    std::size_t to = 0;
    std::shared_ptr<const peer_state> state;
    instant due;
  };

  bool Acts(const member& each) const {
    return each.table && now_ >= each.wakes;
  }

  void Step() {
    now_ = now_ + kStep;
    const bool round =
        (now_ - kStart).count() % microseconds(kRound).count() == 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (Acts(members_[i])) Act(i, round);
    }
    std::vector<datagram> due;
    std::erase_if(under_way_, [&](datagram& each) {
      const member& to = members_[each.to];
      // A frozen one reads what has come when it wakes.
      if (each.due > now_ || (to.table && now_ < to.wakes)) return false;
      due.push_back(std::move(each));
      return true;
    });
    std::shuffle(due.begin(), due.end(), random_);
    for (const datagram& each : due) Deliver(each);
  }

  reader_view View(std::size_t number) const {
    const member& each = members_[number];
    return ViewReaders(*each.table,
                       {.address = AddressOf(number),
                        .failure_domain = each.domain,
                        .processor_permille = each.permille},
                       now_);
  }

  void Act(std::size_t number, bool round) {
    member& each = members_[number];
    const bool before = each.role.Reads();
    const bool reads = each.role.Decide(View(number), now_);
    bool news = reads != before;
    const bool told = !each.store_silent && !each.store_refuses;
    if (reads && told && each.version < store_version_) {
      each.version = store_version_;
      news = true;
    }
    if (round) each.table->RemoveExpired(now_, kRound);
    if (round || news) Tell(number, news);
  }

  peer_state StateOf(std::size_t number, const std::string& first,
                     bool only_first) {
    member& each = members_[number];
    return {
        .incarnation = each.incarnation,
        .beat = each.beat,
        .address = Format(AddressOf(number)),
        .failure_domain = each.domain,
        .processor_permille = each.permille,
        .reads_store = each.role.Reads(),
        .store_answers = !each.store_refuses,
        .joining = View(number).readers == 0,
        .held = {{.revision = each.version}},
        .told = ChooseReportedPeers(*each.table, first, only_first, 40,
                                    peer_table::kExpireAfter / 2, now_, draw_)};
  }

  void Tell(std::size_t number, bool news) {
    member& each = members_[number];
    ++each.beat;
    const gossip_targets targets = ChooseGossipTargets(
        *each.table, {.failure_domain = each.domain}, each.role.Reads(),
        View(number).readers > 0, news, draw_);
    const auto near =
        std::make_shared<const peer_state>(StateOf(number, each.domain, false));
    for (const endpoint& to : targets.local) Send(number, to, near);
    const auto far =
        std::make_shared<const peer_state>(StateOf(number, each.domain, true));
    for (const endpoint& to : targets.remote) Send(number, to, far);
  }

  void Send(std::size_t from, const endpoint& to,
            const std::shared_ptr<const peer_state>& state) {
    const std::size_t copies = random_() % 8 == 0 ? 2 : 1;
    const std::size_t number = NumberOf(to);
    if (number >= members_.size() || Cut(from, number)) return;
    for (std::size_t copy = 0; copy < copies; ++copy) {
      if (random_() % 100 < lost_percent_) continue;
      const milliseconds delay(
          random_() % static_cast<std::uint64_t>(most_delay_.count() + 1));
      under_way_.push_back({number, state, now_ + delay});
    }
  }

  bool Cut(std::size_t from, std::size_t to) const {
    return cut_.contains({members_[from].domain, members_[to].domain});
  }

  void Deliver(const datagram& come) {
    member& to = members_[come.to];
    if (!to.table) return;
    const peer_state& state = *come.state;
    to.table->Receive(state, now_);
    const std::size_t from = NumberOf(ParseEndpoint(state.address));
    if (state.joining) {
      peer_state answer = StateOf(come.to, state.failure_domain, false);
      answer.joining = false;
      Send(come.to, AddressOf(from),
           std::make_shared<const peer_state>(std::move(answer)));
    }
    // What is told is fetched, if both ways are open.
    const std::uint64_t theirs = state.held.front().revision;
    const bool open = !Cut(from, come.to) && !Cut(come.to, from);
    const bool overdue = to.watch_detector.OnPeerRevision(
        {.own = to.version, .peer = theirs}, now_);
    switch (ChooseCatchUp({.has_snapshot = to.version > 0,
                           .healthy = !to.store_refuses,
                           .follows_store = to.role.Reads()},
                          theirs > to.version, overdue)) {
      case catch_up_action::kNothing:
        break;
      case catch_up_action::kListAgain:
        to.version = store_version_;
        break;
      case catch_up_action::kFetchFromPeer:
        if (!open || !Acts(members_[from])) break;
        to.version = std::max(to.version, members_[from].version);
    }
  }

  static std::size_t NumberOf(const endpoint& address) {
    return AddressNumber(address) - AddressNumber(AddressOf(0));
  }

  std::vector<member> members_;
  std::mt19937 random_;
  pcg32 draw_;
  instant now_ = kStart;
  std::uint64_t store_version_ = 1;
  std::deque<datagram> under_way_;
  std::set<std::pair<std::string, std::string>> cut_;
  unsigned lost_percent_ = 0;
  milliseconds most_delay_{0};
};

void Change(fleet& all) {
  const auto number = *rc::gen::inRange(std::size_t{0}, all.Members().size());
  const bool runs = all.Members()[number].table.has_value();
  switch (*rc::gen::inRange(0, 7)) {
    case 0:
      if (runs && all.Running() > 1) all.End(number);
      return;
    case 1:
      all.Start(number);
      return;
    case 2:
      all.Freeze(number, milliseconds(*rc::gen::inRange(100, 9000)));
      return;
    case 3:
      all.Members()[number].store_refuses = true;
      return;
    case 4:
      all.Members()[number].store_silent = true;
      return;
    case 5:
      all.CutOneWay("a", "b");
      return;
    default:
      all.Write();
  }
}

}  // namespace

RC_BOOST_PROP(AfterAnyTroubleFewReadAndAllHearOfChanges, ()) {
  fleet all(*rc::gen::inRange(std::size_t{1}, std::size_t{25}),
            *rc::gen::inRange(std::size_t{1}, std::size_t{5}),
            *rc::gen::arbitrary<unsigned>());
  all.Disturb(*rc::gen::inRange(0U, 40U),
              milliseconds(*rc::gen::inRange(0, 2000)));
  const int changes = *rc::gen::inRange(0, 12);
  for (int i = 0; i < changes; ++i) {
    std::vector<std::uint64_t> before;
    for (const member& each : all.Members()) before.push_back(each.version);
    Change(all);
    all.Run(milliseconds(*rc::gen::inRange(0, 30) * 100));
    // Nobody goes back who did not restart.
    for (std::size_t m = 0; m < before.size(); ++m) {
      const member& each = all.Members()[m];
      RC_ASSERT(each.version >= before[m] || each.version == 0 ||
                each.table.has_value());
    }
  }
  all.Calm();
  all.Run(peer_table::kExpireAfter + milliseconds(5000));
  for (const auto& [name, members] : all.Domains()) {
    const auto readers = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [](const member* each) { return each->role.Reads(); }));
    RC_ASSERT(readers == std::min(reader_role::kReaders, members.size()));
  }
  RC_ASSERT(all.Behind() == 0U);
  all.Write();
  all.Run(milliseconds(1000));
  RC_ASSERT(all.Behind() == 0U);
}

// All readers of a calm fleet end or freeze at the moment of a change: others
// must take their place in time for the users' bound.
RC_BOOST_PROP(AChangeIsHeardInTimeThoughAllReadersAreGone, ()) {
  const auto domains = *rc::gen::inRange(std::size_t{1}, std::size_t{4});
  fleet all(domains * *rc::gen::inRange(std::size_t{4}, std::size_t{10}),
            domains, *rc::gen::arbitrary<unsigned>());
  all.Run(kSettle);
  const bool freeze = *rc::gen::arbitrary<bool>();
  for (std::size_t i = 0; i < all.Members().size(); ++i) {
    if (!all.Members()[i].role.Reads()) continue;
    if (freeze) {
      all.Freeze(i, milliseconds(60000));
    } else {
      all.End(i);
    }
  }
  all.Write();
  all.Run(kChangeBound);
  for (const member& each : all.Members()) {
    if (!each.table || each.wakes > kStart) continue;
    RC_ASSERT(each.version == all.StoreVersion());
  }
}

// The store answers the readers of one domain but tells them of no change; the
// readers of others do hear of it.
RC_BOOST_PROP(ReadersOfOtherDomainsMakeUpForSilentOnes, ()) {
  fleet all(24, 4, *rc::gen::arbitrary<unsigned>());
  all.Run(kSettle);
  for (member& each : all.Members()) each.store_silent = each.domain == "a";
  all.Write();
  all.Run(kChangeBound);
  RC_ASSERT(all.Behind() == 0U);
}

// A store that is away for all must not be asked by all.
RC_BOOST_PROP(AnOutageOfTheStoreMakesNoStampede, ()) {
  fleet all(40, 2, *rc::gen::arbitrary<unsigned>());
  all.Run(kSettle);
  for (member& each : all.Members()) each.store_refuses = true;
  all.Run(milliseconds(10000));
  for (const auto& [name, members] : all.Domains()) {
    RC_ASSERT(
        std::count_if(members.begin(), members.end(), [](const member* each) {
          return each->role.Reads();
        }) <= static_cast<std::ptrdiff_t>(reader_role::kMostTrying));
  }
}

BOOST_AUTO_TEST_CASE(WhoHearsNobodyReadsTheStoreItself) {
  reader_role role;
  BOOST_TEST(!role.Decide({}, kStart));
  BOOST_TEST(role.Decide({}, kStart + reader_role::kMissing));
}

BOOST_AUTO_TEST_CASE(TheFirstInTheOrderTakeThePlacesOfReaders) {
  reader_role first;
  reader_role later;
  const reader_view as_first{.readers = 2, .trying = 2, .idle_before = 0};
  const reader_view as_later{.readers = 2, .trying = 2, .idle_before = 5};
  first.Decide(as_first, kStart);
  later.Decide(as_later, kStart);
  const instant due = kStart + reader_role::kMissing;
  BOOST_TEST(first.Decide(as_first, due));
  BOOST_TEST(!later.Decide(as_later, due));
  // Those before it may be gone as well.
  BOOST_TEST(later.Decide(as_later, due + reader_role::kEachBefore * 5));
}

BOOST_AUTO_TEST_CASE(AReaderStopsWhenEnoughBeforeItHaveReadForAWhile) {
  reader_role role;
  role.Decide({}, kStart);
  role.Decide({}, kStart + reader_role::kMissing);
  const reader_view enough{.readers = 3, .readers_before = 3, .trying = 3};
  const instant seen = kStart + milliseconds(5000);
  BOOST_TEST(role.Decide(enough, seen));
  // A moment with one reader less counts anew.
  BOOST_TEST(role.Decide({.readers = 2, .readers_before = 2}, seen + kStep));
  BOOST_TEST(role.Decide(enough, seen + kStep * 2));
  BOOST_TEST(role.Decide(enough, seen + reader_role::kSurplus));
  BOOST_TEST(!role.Decide(enough, seen + kStep * 2 + reader_role::kSurplus));
}

}  // namespace basilhoist
