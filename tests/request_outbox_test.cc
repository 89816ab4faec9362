// Sub-requests of one turn share batches; each keeps its own payload.
#include "basilhoist/entry/request_outbox.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace {

using basilhoist::cancel_batch;
using basilhoist::event_loop;
using basilhoist::request_outbox;
using basilhoist::request_payload;
using basilhoist::subrequest_batch;

class recording_channel : public basilhoist::owner_channel {
 public:
  bool SendBatch(const std::string& owner,
                 const subrequest_batch& batch) override {
    batches.push_back(batch);
    return owner != "unlinked";
  }
  void SendCancels(const std::string&, const cancel_batch&) override {}

  std::vector<subrequest_batch> batches;
};

std::shared_ptr<const request_payload> Payload(const std::string& body) {
  return std::make_shared<const request_payload>(
      request_payload{.request_id = body, .body = body});
}

void Turn(event_loop& loop) {
  loop.After(basilhoist::milliseconds(1), [&loop] { loop.Stop(); });
  loop.Run();
}

}  // namespace

BOOST_AUTO_TEST_CASE(OneBatchForEachOwnerAndOnePayloadForEachRequest) {
  event_loop loop;
  recording_channel channel;
  request_outbox outbox(loop, channel, [](std::uint64_t) {});
  const auto first = Payload("first");
  outbox.Add("a", {.id = 1}, first);
  outbox.Add("a", {.id = 2}, first);
  outbox.Add("a", {.id = 3}, Payload("second"));
  Turn(loop);
  BOOST_REQUIRE_EQUAL(channel.batches.size(), 1U);
  const auto& batch = channel.batches.front();
  BOOST_REQUIRE_EQUAL(batch.payloads.size(), 2U);
  BOOST_TEST(batch.payloads[batch.items[1].payload].body == "first");
  BOOST_TEST(batch.payloads[batch.items[2].payload].body == "second");
}

// A request may be over before its batch has left. Were its payload gone by
// then, the next request could get the same address and so the same payload.
BOOST_AUTO_TEST_CASE(APayloadLivesUntilItsBatchHasLeft) {
  event_loop loop;
  recording_channel channel;
  request_outbox outbox(loop, channel, [](std::uint64_t) {});
  auto payload = Payload("over");
  const std::weak_ptr<const request_payload> seen = payload;
  outbox.Add("a", {.id = 1}, payload);
  payload.reset();
  BOOST_TEST(!seen.expired());
  Turn(loop);
  BOOST_TEST(seen.expired());
}

BOOST_AUTO_TEST_CASE(WhatHasNoLinkIsHandedBack) {
  event_loop loop;
  recording_channel channel;
  std::vector<std::uint64_t> unsent;
  request_outbox outbox(loop, channel,
                        [&](std::uint64_t id) { unsent.push_back(id); });
  outbox.Add("unlinked", {.id = 7}, Payload("x"));
  Turn(loop);
  BOOST_REQUIRE_EQUAL(unsent.size(), 1U);
  BOOST_TEST(unsent[0] == 7U);
}
