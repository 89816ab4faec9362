// What is kept of requests that crash servers, and what bad entries do.
#include "basilhoist/knowledge/suspect_archive.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace basilhoist {
namespace {

constexpr std::int64_t kNowMs = 1'800'000'000'000;

RC_BOOST_PROP(AReportComesBackOlderByTheTimeItWasKept, ()) {
  suspect_report report{.fingerprint = *rc::gen::arbitrary<std::uint64_t>(),
                        .answered = *rc::gen::arbitrary<bool>(),
                        .idle_ms = *rc::gen::inRange<std::uint32_t>(0, 100000)};
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    report.services.push_back(
        {.service = *rc::gen::arbitrary<std::uint64_t>(),
         .answered = *rc::gen::arbitrary<bool>(),
         .servers = *rc::gen::arbitrary<std::vector<std::uint64_t>>()});
  }
  const auto kept_ms = *rc::gen::inRange<std::uint32_t>(0, 100000);
  const auto text = EncodeSuspect(report, kNowMs).dump();
  const auto read =
      DecodeSuspect(object_content::parse(text), kNowMs + kept_ms);
  report.idle_ms += kept_ms;
  RC_ASSERT(read == report);
}

BOOST_AUTO_TEST_CASE(AClockThatWentBackMakesNoReportYounger) {
  const auto content = EncodeSuspect({.fingerprint = 1}, kNowMs);
  BOOST_TEST(DecodeSuspect(content, kNowMs - 5000)->idle_ms == 0U);
}

BOOST_AUTO_TEST_CASE(MalformedEntriesAreNoReports) {
  const object_content whole = EncodeSuspect(
      {.fingerprint = 1, .services = {{.service = 2, .servers = {3}}}}, kNowMs);
  BOOST_TEST(DecodeSuspect(whole, kNowMs).has_value());
  for (const char* field :
       {"fingerprint", "answered", "blamed_at_ms", "services"}) {
    object_content missing = whole;
    missing.erase(field);
    BOOST_TEST(!DecodeSuspect(missing, kNowMs).has_value(), field);
    object_content wrong = whole;
    wrong[field] = object_content::array({1, "x"});
    BOOST_TEST(!DecodeSuspect(wrong, kNowMs).has_value(), field);
  }
  for (const char* text : {"null", "[]", "7", "\"x\""}) {
    BOOST_TEST(!DecodeSuspect(object_content::parse(text), kNowMs).has_value());
  }
}

}  // namespace
}  // namespace basilhoist
