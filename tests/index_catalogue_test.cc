// The index version that a query is pinned to.
#include "basilhoist/snapshot/index_catalogue.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>

namespace {

using basilhoist::ChooseVersion;
using basilhoist::group_index;
using basilhoist::index_catalogue;
using basilhoist::replica_state;
using basilhoist::version_range;

class fixed_states : public basilhoist::replica_states {
 public:
  std::map<std::string, replica_state> states;
  replica_state StateOf(const std::string& server) const override {
    const auto found = states.find(server);
    return found == states.end() ? replica_state{} : found->second;
  }
};

group_index TwoVersions() {
  return {
      .versions = {{.version = 1,
                    .shards = {{"x", {"x-a", "x-b"}}, {"y", {"y-a", "y-b"}}}},
                   {.version = 2,
                    .shards = {{"x", {"x-a", "x-b"}}, {"y", {"y-a", "y-b"}}}}}};
}

}  // namespace

BOOST_AUTO_TEST_CASE(EqualVersionsGiveTheNewest) {
  BOOST_TEST(ChooseVersion(TwoVersions(), fixed_states())->version == 2U);
}

BOOST_AUTO_TEST_CASE(AVersionThatShardsLackIsNotChosen) {
  fixed_states states;
  states.states["y-a"].versions = version_range{1, 1};
  states.states["y-b"].versions = version_range{1, 1};
  BOOST_TEST(ChooseVersion(TwoVersions(), states)->version == 1U);
}

BOOST_AUTO_TEST_CASE(MoreReplicasWinWhereShardsAreEqual) {
  fixed_states states;
  states.states["y-a"].versions = version_range{1, 1};
  BOOST_TEST(ChooseVersion(TwoVersions(), states)->version == 1U);
}

BOOST_AUTO_TEST_CASE(NoVersionIsNoChoice) {
  BOOST_TEST(ChooseVersion({}, fixed_states()) == nullptr);
}

RC_BOOST_PROP(TheChosenVersionServesAtLeastAsManyShardsAsAnyOther, ()) {
  const group_index index = TwoVersions();
  fixed_states states;
  for (const auto* name : {"x-a", "x-b", "y-a", "y-b"}) {
    const auto oldest = *rc::gen::inRange<std::uint64_t>(1, 3);
    states.states[name] = {
        .usable = *rc::gen::inRange(0, 2) == 1,
        .versions = {oldest, *rc::gen::inRange<std::uint64_t>(oldest, 3)}};
  }
  const auto served = [&](const auto& version) {
    int count = 0;
    for (const auto& part : version.shards) {
      bool any = false;
      for (const auto& server : part.servers) {
        const auto state = states.StateOf(server);
        any = any || (state.usable && state.versions.Holds(version.version));
      }
      count += any ? 1 : 0;
    }
    return count;
  };
  const auto* chosen = ChooseVersion(index, states);
  for (const auto& each : index.versions) {
    RC_ASSERT(served(*chosen) >= served(each));
  }
}

BOOST_AUTO_TEST_CASE(TheDocumentIsReadAsItWasWritten) {
  index_catalogue catalogue;
  catalogue.groups["g"] = TwoVersions();
  basilhoist::leaf::try_handle_all(
      [&]() -> basilhoist::leaf::result<void> {
        BOOST_LEAF_AUTO(read, basilhoist::ParseIndexCatalogue(
                                  FormatIndexCatalogue(catalogue)));
        BOOST_TEST((read == catalogue));
        return {};
      },
      [] { BOOST_ERROR("it must be readable"); });
}
