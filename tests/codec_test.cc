// Messages between instances: what is read is what was written, and bytes
// that are no message are refused.
#include "basilhoist/link/codec.h"

#include <rapidcheck/boost_test.h>
#include <sys/resource.h>
#include <xxhash.h>

#include <algorithm>
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

std::size_t PeakMemoryBytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<std::size_t>(usage.ru_maxrss) << 10U;
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
  Decode<basilhoist::handover_request>(bytes);
  Decode<basilhoist::handover_reply>(bytes);
}

RC_BOOST_PROP(AHandoverIsReadAsItWasWritten, ()) {
  const basilhoist::handover_request request{
      .id = *rc::gen::arbitrary<std::uint64_t>(),
      .method = *rc::gen::arbitrary<std::string>(),
      .target = *rc::gen::arbitrary<std::string>(),
      .headers = {{.name = *rc::gen::arbitrary<std::string>(),
                   .value = *rc::gen::arbitrary<std::string>()}},
      .body = *rc::gen::arbitrary<std::string>()};
  RC_ASSERT(Decode<basilhoist::handover_request>(Encode(request)) == request);
  const basilhoist::handover_reply reply{
      .id = *rc::gen::arbitrary<std::uint64_t>(),
      .state = basilhoist::handover_state::kAnswered,
      .status = *rc::gen::arbitrary<std::int32_t>(),
      .body = *rc::gen::arbitrary<std::string>()};
  RC_ASSERT(Decode<basilhoist::handover_reply>(Encode(reply)) == reply);
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

// A list of elements that take 64 bytes of memory, stated to have one for each
// byte of the frame, made room for all of them before the first was read.
BOOST_AUTO_TEST_CASE(AListTakesMemoryOnlyForWhatIsInTheFrame) {
  constexpr std::size_t kFrameBytes = 4U << 20U;
  basilhoist::handover_request message;
  message.headers.resize(1);
  std::string bytes = Encode(message);
  const std::string one = Encode(basilhoist::handover_request{});
  const std::size_t count_at =
      std::mismatch(bytes.begin(), bytes.end(), one.begin(), one.end()).first -
      bytes.begin();
  bytes.resize(kFrameBytes, '\xff');
  const std::uint64_t stated = kFrameBytes / 2;
  std::memcpy(bytes.data() + count_at, &stated, sizeof stated);
  const std::size_t before = PeakMemoryBytes();
  BOOST_TEST(!Decode<basilhoist::handover_request>(bytes).has_value());
  BOOST_TEST(PeakMemoryBytes() - before < kFrameBytes);
}

BOOST_AUTO_TEST_CASE(RepliesKeepTheirLoads) {
  subreply_batch batch;
  batch.items.push_back({.id = 3, .shard = "s", .version = 2, .body = "b"});
  batch.loads.push_back({"server", {.in_flight = 1, .window = 2}});
  const auto read = Decode<subreply_batch>(Encode(batch));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == batch));
}

// Instances of two builds run side by side during an upgrade, so the messages
// that both know must not change. Larger news needs a message of its own.
BOOST_AUTO_TEST_CASE(MessagesBetweenBuildsKeepTheirBytes) {
  const basilhoist::peer_state state{
      .name = "a",
      .beat = 7,
      .address = "10.0.0.1:1",
      .held = {{.kind = "k", .revision = 5, .digest = 6}},
      .told = {{.failure_domain = "d", .instances = {{.port = 2}}}},
      .suspects = {{.fingerprint = 3}}};
  const basilhoist::relay_update update{
      .id = 4,
      .parts = {{.shard = 1, .signature = "s"}},
      .not_sent = {2},
      .notices = {{.run = 9, .leaving = true, .quiet_ms = 8}}};
  const auto digest = [](const std::string& bytes) {
    return XXH64(bytes.data(), bytes.size(), 0);
  };
  BOOST_TEST(digest(Encode(state)) == 6035387028747149187U);
  BOOST_TEST(digest(Encode(update)) == 2383760121719750110U);
}

template <typename Digest>
void CheckDatagram(const Digest& digest) {
  const std::string bytes = Encode(digest);
  const auto read = Decode<Digest>(bytes);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == digest));
  // An older build takes it for none of the messages that it knows.
  BOOST_TEST(!Decode<basilhoist::peer_state>(bytes).has_value());
  const auto state =
      Decode<Digest>(Encode(basilhoist::peer_state{.name = "a"}));
  BOOST_TEST((!state || state->magic != digest.magic));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(!Decode<Digest>(bytes.substr(0, size)).has_value());
  }
}

// The kinds of datagrams between peers are told apart by their bytes.
BOOST_AUTO_TEST_CASE(DatagramsAreToldApart) {
  const basilhoist::rate_limit_digest limits{
      .limits = {{.run = 1, .per_s = 2.5, .age_ms = 3}}};
  const basilhoist::server_health_digest health{
      .servers = {{.run = 1, .slowness_tenths = 80, .age_ms = 3},
                  {.run = 2, .slowness_tenths = 30, .age_ms = 4}}};
  const basilhoist::admission_digest admission{
      .reports = {
          {.origin = 1,
           .service_set = 2,
           .age_ms = 3,
           .shares = {{.workspace = 4, .permille = 500, .priority = 1}}}}};
  CheckDatagram(limits);
  CheckDatagram(health);
  CheckDatagram(admission);
  const auto misread = [](const auto& read, const auto& other) {
    return read && read->magic == other.magic;
  };
  using basilhoist::admission_digest;
  using basilhoist::rate_limit_digest;
  using basilhoist::server_health_digest;
  BOOST_TEST(!misread(Decode<rate_limit_digest>(Encode(health)), limits));
  BOOST_TEST(!misread(Decode<rate_limit_digest>(Encode(admission)), limits));
  BOOST_TEST(!misread(Decode<server_health_digest>(Encode(limits)), health));
  BOOST_TEST(!misread(Decode<server_health_digest>(Encode(admission)), health));
  BOOST_TEST(!misread(Decode<admission_digest>(Encode(limits)), admission));
  BOOST_TEST(!misread(Decode<admission_digest>(Encode(health)), admission));
}

BOOST_AUTO_TEST_CASE(RelayTermsSurviveEncoding) {
  const basilhoist::relay_terms terms{
      .id = 5, .workspace = "ralo", .priority = 2, .reserves_servers = true};
  const std::string bytes = Encode(terms);
  const auto read = Decode<basilhoist::relay_terms>(bytes);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == terms));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(
        !Decode<basilhoist::relay_terms>(bytes.substr(0, size)).has_value());
  }
}

// Guards against messages that builds without usage limits take for others.
BOOST_AUTO_TEST_CASE(DatagramsOfUsageLimitsAreSkippedByOtherBuilds) {
  const basilhoist::usage_report report{.demands = {{.workspace = 1}}};
  const basilhoist::usage_answer answer{.grants = {{.workspace = 1}}};
  for (const std::string& bytes : {Encode(report), Encode(answer)}) {
    BOOST_TEST(!Decode<basilhoist::peer_state>(bytes).has_value());
    const auto digest = Decode<basilhoist::rate_limit_digest>(bytes);
    BOOST_TEST(
        (!digest || digest->magic != basilhoist::rate_limit_digest::kMagic));
  }
  BOOST_TEST((Decode<basilhoist::usage_report>(Encode(report)) == report));
  BOOST_TEST((Decode<basilhoist::usage_answer>(Encode(answer)) == answer));
}

// A report of a rollout must be read as it was written, and one that states
// 2^40 elements must not make room for them.
BOOST_AUTO_TEST_CASE(DatagramsOfRolloutsAreReadOrRefused) {
  basilhoist::rollout_report report{
      .order = 1,
      .address = 2,
      .port = 3,
      .incarnation = 4,
      .age_ms = 5,
      .revision = 6,
      .broken_old = {{.server = 7, .episodes = 8}},
      .broken_target = {{.server = 9, .episodes = 10, .crashed = true}},
      .routes = {
          {.route = 11,
           .old_version = {.failed = 12, .answered = {{13, 14}}},
           .target = {.failed = 15, .answered = {{16, 17}, {255, 18}}}}}};
  CheckDatagram(report);
  CheckDatagram(basilhoist::rollout_notice{.order = 1,
                                           .address = 2,
                                           .port = 3,
                                           .age_ms = 0xFFFFFFFF,
                                           .revision = 5,
                                           .verdict = 255});
  report.broken_old.clear();
  report.broken_target.clear();
  report.routes.clear();
  const std::string empty = Encode(report);
  constexpr std::size_t kLists = 3;
  for (std::size_t list = 1; list <= kLists; ++list) {
    for (const std::uint64_t size :
         {std::uint64_t{1}, std::uint64_t{100000}, std::uint64_t{1} << 40U,
          std::numeric_limits<std::uint64_t>::max()}) {
      std::string bytes = empty;
      std::memcpy(bytes.data() + bytes.size() - list * sizeof size, &size,
                  sizeof size);
      BOOST_TEST(!Decode<basilhoist::rollout_report>(bytes).has_value());
    }
  }
  report.routes.resize(100000);
  BOOST_TEST((Decode<basilhoist::rollout_report>(Encode(report)) == report));
}

RC_BOOST_PROP(RandomBytesAreNoFaultyRolloutReport, ()) {
  basilhoist::rollout_report report{.routes = {{.route = 1}, {.route = 2}}};
  std::string bytes = Encode(report);
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes.at(at) = static_cast<char>(*rc::gen::inRange(0, 256));
  Decode<basilhoist::rollout_report>(bytes);
  Decode<basilhoist::rollout_notice>(bytes);
}
