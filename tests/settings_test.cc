// Settings: positions, merging, and every fault with file, line and key.
#include <boost/test/unit_test.hpp>

#include "basilhoist/settings/site_settings.h"

namespace {

namespace leaf = basilhoist::leaf;
using basilhoist::fault;
using basilhoist::json_source;
using basilhoist::site_settings;

constexpr const char* kBase = R"({
  // shared
  "server_shapes": {
    "search": {"slots": 2, "connections": 25, "connect_ms": 6}
  },
  "policies": {"p": {"default_deadline_ms": 500, "partial_after_ms": 400}}
})";

constexpr const char* kOverlay = R"({
  "site": "s", "region": "r",
  "failure_domains": ["d1", "d2"],
  "service_groups": {
    "g": {
      "shape": "search", "policy": "p", "operations": ["query"],
      "services": {
        "x": {
          "x-a": {"address": "10.0.0.1:80", "failure_domain": "d1"},
          "x-b": {"address": "10.0.0.2:80", "failure_domain": "d2"}
        }
      }
    }
  }
})";

std::vector<fault> FaultsOf(const std::function<leaf::result<void>()>& run) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::vector<fault>> {
        BOOST_LEAF_CHECK(run());
        return std::vector<fault>();
      },
      [](const basilhoist::fault_list& list) { return list.faults; },
      [] {
        return std::vector<fault>{{"?", 0, "?", "?"}};
      });
}

std::vector<fault> FaultsOfOverlay(const std::string& overlay_text) {
  return FaultsOf([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(base, basilhoist::ParseJsonSource(kBase, "base.json"));
    BOOST_LEAF_AUTO(overlay,
                    basilhoist::ParseJsonSource(overlay_text, "site.json"));
    BOOST_LEAF_CHECK(
        basilhoist::CheckSettings(MergeJsonSources(std::move(base), overlay)));
    return {};
  });
}

std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// One slip, where it must be found, and a word that the message must hold.
struct slip {
  const char* from;
  const char* to;
  const char* file;
  int line;
  const char* key;
  const char* message;
};

constexpr slip kSlips[] = {
    {R"("policy": "p",)", R"("policy": "q",)", "site.json", 6,
     "service_groups/g/policy", "not defined"},
    {R"("x-b": {"address": "10.0.0.2:80")",
     R"("x-b": {"address": "10.0.0.1:80")", "site.json", 10,
     "service_groups/g/services/x/x-b/address", "also used at"},
    {R"("failure_domain": "d2")", R"("failure_domain": "d9")", "site.json", 10,
     "service_groups/g/services/x/x-b/failure_domain", "not listed"},
    {R"("failure_domain": "d2")", R"("failure_domain": "d1")", "site.json", 10,
     "service_groups/g/services/x/x-b", "must differ"},
    {R"("region": "r",)", R"("region": "r", "zone": 1,)", "site.json", 2,
     "zone", "unknown key"},
    {R"("region": "r",)",
     R"("region": "r", "server_shapes": {"search": {"slots": 0}},)",
     "site.json", 2, "server_shapes/search/slots", "whole number from 1"},
    {R"("region": "r",)",
     R"("region": "r", "policies": {"p": {"default_deadline_s": 1}},)",
     "site.json", 2, "policies/p/default_deadline_s",
     "the key is default_deadline_ms"},
    {R"("region": "r",)",
     R"("region": "r", "server_shapes": {"search": {"connections": 2}},)",
     "site.json", 2, "server_shapes/search/connections", "must exceed slots"},
    {R"(["query"])", R"(["delete"])", "site.json", 6,
     "service_groups/g/operations", "query, lookup or once"},
    {R"("10.0.0.1:80")", R"("host:80")", "site.json", 9,
     "service_groups/g/services/x/x-a/address", "IP number"},
};

}  // namespace

BOOST_AUTO_TEST_CASE(RightSettingsHaveNoFaults) {
  BOOST_TEST(FaultsOfOverlay(kOverlay).empty());
}

BOOST_AUTO_TEST_CASE(EachSlipIsFoundWhereItStands) {
  for (const slip& each : kSlips) {
    const auto faults = FaultsOfOverlay(Replace(kOverlay, each.from, each.to));
    BOOST_TEST_CONTEXT(each.to) {
      BOOST_REQUIRE_EQUAL(faults.size(), 1U);
      BOOST_TEST(faults[0].file == each.file);
      BOOST_TEST(faults[0].line == each.line);
      BOOST_TEST(faults[0].key == each.key);
      BOOST_TEST(faults[0].message.find(each.message) != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(AllFaultsAreNamedAtOnce) {
  std::string text = Replace(kOverlay, "\"d2\"}", "\"d9\"}");
  text = Replace(text, "\"policy\": \"p\"", "\"policy\": \"q\"");
  text = Replace(text, "10.0.0.1:80", "nowhere");
  BOOST_TEST(FaultsOfOverlay(text).size() == 3U);
}

BOOST_AUTO_TEST_CASE(BrokenTextIsNamedWithItsLine) {
  const auto faults = FaultsOfOverlay("{\n  \"site\": \"s\",\n  oops\n}");
  BOOST_REQUIRE_EQUAL(faults.size(), 1U);
  BOOST_TEST(faults[0].line == 3);
}

BOOST_AUTO_TEST_CASE(AKeyGivenTwiceIsAFault) {
  const auto faults = FaultsOfOverlay("{\"site\": \"s\",\n\"site\": \"t\"}");
  BOOST_REQUIRE(!faults.empty());
  BOOST_TEST(faults[0].message.find("given twice") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(MergedValuesKnowTheirFile) {
  leaf::try_handle_all(
      []() -> leaf::result<void> {
        BOOST_LEAF_AUTO(base, basilhoist::ParseJsonSource(kBase, "base.json"));
        BOOST_LEAF_AUTO(
            overlay,
            basilhoist::ParseJsonSource(
                "{\"policies\": {\"p\":\n{\"partial_after_ms\": 9}}}", "o"));
        const auto merged = MergeJsonSources(std::move(base), overlay);
        BOOST_TEST(merged.value["policies"]["p"]["partial_after_ms"] == 9);
        const auto changed =
            FindPosition(merged, "/policies/p/partial_after_ms");
        BOOST_TEST(changed.file == "o");
        BOOST_TEST(changed.line == 2);
        const auto kept =
            FindPosition(merged, "/policies/p/default_deadline_ms");
        BOOST_TEST(kept.file == "base.json");
        BOOST_TEST(kept.line == 6);
        return {};
      },
      [] { BOOST_ERROR("the texts must be right"); });
}

BOOST_AUTO_TEST_CASE(AServerNamedByTwoHalvesIsAFault) {
  leaf::try_handle_all(
      []() -> leaf::result<void> {
        std::vector<site_settings> halves;
        std::vector<json_source> sources;
        for (const std::string site : {"s", "t"}) {
          BOOST_LEAF_AUTO(base, basilhoist::ParseJsonSource(kBase, "base"));
          BOOST_LEAF_AUTO(overlay, basilhoist::ParseJsonSource(
                                       Replace(kOverlay, "\"site\": \"s\"",
                                               "\"site\": \"" + site + "\""),
                                       site));
          sources.push_back(MergeJsonSources(std::move(base), overlay));
          BOOST_LEAF_AUTO(checked, basilhoist::CheckSettings(sources.back()));
          halves.push_back(checked);
        }
        const auto faults = basilhoist::FindSharedServers(halves, sources);
        BOOST_REQUIRE_EQUAL(faults.size(), 2U);
        BOOST_TEST(faults[0].file == "t");
        BOOST_TEST(faults[0].line == 9);
        return {};
      },
      [] { BOOST_ERROR("the settings must be right"); });
}
