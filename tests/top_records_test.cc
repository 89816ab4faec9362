// MergeTopRecords returns the greatest records of all shard results in
// descending order.
#include "basilhoist/merge/top_records.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace basilhoist {
namespace {

// Reference implementation: sorts all records.
std::string SortAndTruncate(const std::vector<std::string>& shard_results,
                            std::size_t max_records) {
  std::vector<std::string> records;
  for (const auto& result : shard_results) {
    for (std::size_t offset = 0; offset + kRecordBytes <= result.size();
         offset += kRecordBytes) {
      records.push_back(result.substr(offset, kRecordBytes));
    }
  }
  std::sort(records.begin(), records.end(),
            [](const std::string& a, const std::string& b) {
              return std::lexicographical_compare(
                  b.begin(), b.end(), a.begin(), a.end(),
                  [](unsigned char x, unsigned char y) { return x < y; });
            });
  if (records.size() > max_records) records.resize(max_records);
  std::string merged;
  for (const auto& record : records) merged += record;
  return merged;
}

// Draws from four byte values, so that duplicate records are frequent and a
// comparison of signed bytes would give a different order.
rc::Gen<std::string> ShardResult() {
  return rc::gen::mapcat(rc::gen::inRange(0, 90), [](int size) {
    return rc::gen::container<std::string>(
        static_cast<std::size_t>(size),
        rc::gen::element('\x00', '\x7f', '\x80', '\xff'));
  });
}

RC_BOOST_PROP(EqualsSortingAllRecords, ()) {
  const auto shard_results =
      *rc::gen::container<std::vector<std::string>>(ShardResult());
  const auto max_records = *rc::gen::inRange<std::size_t>(0, 12);
  const std::vector<std::string_view> views(shard_results.begin(),
                                            shard_results.end());
  RC_ASSERT(MergeTopRecords(views, max_records) ==
            SortAndTruncate(shard_results, max_records));
}

BOOST_AUTO_TEST_CASE(IgnoresATrailingPartialRecord) {
  const std::string result = std::string(16, 'a') + std::string(15, 'z');
  BOOST_TEST(MergeTopRecords({result}, 5) == std::string(16, 'a'));
}

BOOST_AUTO_TEST_CASE(KeepsDuplicateRecords) {
  const std::string result(32, 'a');
  BOOST_TEST(MergeTopRecords({result, result}, 3) == std::string(48, 'a'));
}

}  // namespace
}  // namespace basilhoist
