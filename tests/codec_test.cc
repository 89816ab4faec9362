// Messages between instances: what is read is what was written, and bytes
// that are no message are refused.
#include "basilhoist/link/codec.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <cstring>
#include <limits>

namespace {

using basilhoist::Decode;
using basilhoist::Encode;
using basilhoist::heartbeat;
using basilhoist::request_payload;
using basilhoist::subreply;
using basilhoist::subreply_batch;
using basilhoist::subrequest;
using basilhoist::subrequest_batch;

subrequest_batch AnyBatch() {
  subrequest_batch batch;
  const auto count = *rc::gen::inRange(0, 20);
  batch.payloads.push_back({.request_id = *rc::gen::arbitrary<std::string>(),
                            .body = *rc::gen::arbitrary<std::string>()});
  for (int i = 0; i < count; ++i) {
    batch.items.push_back({.id = *rc::gen::arbitrary<std::uint64_t>(),
                           .server = *rc::gen::arbitrary<std::string>(),
                           .shard = *rc::gen::arbitrary<std::string>(),
                           .version = *rc::gen::arbitrary<std::uint64_t>(),
                           .time_left_us = *rc::gen::arbitrary<std::int64_t>(),
                           .second_attempt = *rc::gen::arbitrary<bool>()});
  }
  return batch;
}

}  // namespace

RC_BOOST_PROP(ABatchIsReadAsItWasWritten, ()) {
  const subrequest_batch batch = AnyBatch();
  const auto read = Decode<subrequest_batch>(Encode(batch));
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == batch);
}

RC_BOOST_PROP(ACutMessageIsRefused, ()) {
  const std::string bytes = Encode(AnyBatch());
  const auto keep = *rc::gen::inRange<std::size_t>(0, bytes.size());
  RC_ASSERT(!Decode<subrequest_batch>(bytes.substr(0, keep)).has_value());
}

RC_BOOST_PROP(RandomBytesNeverBreakTheReader, ()) {
  const auto bytes = *rc::gen::arbitrary<std::string>();
  Decode<heartbeat>(bytes);
  Decode<subreply_batch>(bytes);
}

// Found by fuzzing: a few bytes that state a size of petabytes made the reader
// ask for that much memory.
BOOST_AUTO_TEST_CASE(AStatedSizeIsNoReasonToMakeRoom) {
  std::string bytes(40, '\0');
  bytes[16] = 0x2e;
  bytes[22] = 0x2e;
  const auto most = std::numeric_limits<std::uint64_t>::max() / 4096;
  for (const std::uint64_t size :
       {most, most / 1024, std::uint64_t{1} << 33U}) {
    std::memcpy(bytes.data(), &size, sizeof size);
    BOOST_TEST(!Decode<basilhoist::peer_state>(bytes).has_value());
    BOOST_TEST(!Decode<basilhoist::relay_update>(bytes).has_value());
  }
}

BOOST_AUTO_TEST_CASE(RepliesKeepTheirLoads) {
  subreply_batch batch;
  batch.items.push_back({.id = 3, .shard = "s", .version = 2, .body = "b"});
  batch.loads.push_back({"server", {.in_flight = 1, .window = 2}});
  const auto read = Decode<subreply_batch>(Encode(batch));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == batch));
}
