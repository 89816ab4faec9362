// Merged records are the greatest ones of all parts, greatest first.
#include "basilhoist/merge/top_records.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace basilhoist {
namespace {

// The same by sorting everything.
std::string Sorted(const std::vector<std::string>& parts, std::size_t most) {
  std::vector<std::string> records;
  for (const auto& part : parts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  std::sort(records.begin(), records.end(),
            [](const std::string& a, const std::string& b) {
              return std::lexicographical_compare(
                  b.begin(), b.end(), a.begin(), a.end(),
                  [](unsigned char x, unsigned char y) { return x < y; });
            });
  if (records.size() > most) records.resize(most);
  std::string merged;
  for (const auto& each : records) merged += each;
  return merged;
}

// Few different bytes, so that equal records and signs of bytes matter.
rc::Gen<std::string> Part() {
  return rc::gen::mapcat(rc::gen::inRange(0, 90), [](int size) {
    return rc::gen::container<std::string>(
        static_cast<std::size_t>(size),
        rc::gen::element('\x00', '\x7f', '\x80', '\xff'));
  });
}

RC_BOOST_PROP(EqualsSortingEverything, ()) {
  const auto parts = *rc::gen::container<std::vector<std::string>>(Part());
  const auto most = *rc::gen::inRange<std::size_t>(0, 12);
  const std::vector<std::string_view> views(parts.begin(), parts.end());
  RC_ASSERT(MergeTopRecords(views, most) == Sorted(parts, most));
}

BOOST_AUTO_TEST_CASE(AShortRestIsNoRecord) {
  const std::string part = std::string(16, 'a') + std::string(15, 'z');
  BOOST_TEST(MergeTopRecords({part}, 5) == std::string(16, 'a'));
}

BOOST_AUTO_TEST_CASE(EqualRecordsAllCount) {
  const std::string part(32, 'a');
  BOOST_TEST(MergeTopRecords({part, part}, 3) == std::string(48, 'a'));
}

}  // namespace
}  // namespace basilhoist
