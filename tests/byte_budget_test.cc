// Many buffers that grow at once keep to the memory that they share.
#include "basilhoist/base/byte_budget.h"

#include <rapidcheck/boost_test.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "basilhoist/backend/reply_reader.h"
#include "basilhoist/link/frame_link.h"

namespace basilhoist {
namespace {

constexpr std::size_t kMost = 1U << 20U;
constexpr std::size_t kAlways = 4096;

}  // namespace

// Each buffer gives up when it is told to, as its owner does.
RC_BOOST_PROP(BuffersThatGiveUpWhenToldStayWithinTheirShare, ()) {
  byte_budget budget(kMost, kAlways);
  std::array<std::size_t, 20> held{};
  const auto steps = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, held.size()));
  for (const std::size_t each : steps) {
    const auto more = *rc::gen::inRange<std::size_t>(1, kMost / 4);
    const auto size = held[each] + more;
    if (!budget.Resize(held[each], size)) budget.Resize(held[each], 0);
    RC_ASSERT(budget.Used() <= kMost + held.size() * kAlways);
    std::size_t all = 0;
    for (const std::size_t one : held) all += one;
    RC_ASSERT(budget.Used() == all);
  }
}

BOOST_AUTO_TEST_CASE(ASmallBufferGoesOnThoughAnotherHasTakenAll) {
  byte_budget budget(kMost, kAlways);
  std::size_t large = 0;
  std::size_t small = 0;
  BOOST_TEST(budget.Resize(large, kMost));
  BOOST_TEST(budget.Resize(small, kAlways));
  BOOST_TEST(!budget.Resize(small, kAlways + 1));
  BOOST_TEST(!budget.Resize(large, kMost + 1));
}

BOOST_AUTO_TEST_CASE(InterimRepliesWithoutEndAreNoReply) {
  reply_reader reader({});
  read_state reached = read_state::kIncomplete;
  int taken = 0;
  while (reached == read_state::kIncomplete && taken < 1000) {
    reached = reader.Consume("HTTP/1.1 102 Processing\r\n\r\n");
    ++taken;
  }
  BOOST_TEST((reached == read_state::kInvalid));
  BOOST_TEST(taken == reply_reader::kMaxInterimReplies + 1);
}

BOOST_AUTO_TEST_CASE(WhatIsKeptOfAReplyIsCounted) {
  reply_reader reader({});
  reader.Consume("HTTP/1.1 200 OK\r\n\r\n");
  const std::string part(10000, 'x');
  for (int i = 0; i < 20; ++i) reader.Consume(part);
  BOOST_TEST(reader.Buffered() >= 20 * part.size());
}

// A relay stops reading; what waits for it must not end the process.
BOOST_AUTO_TEST_CASE(PeersThatReadNothingAreCutOff) {
  event_loop loop;
  const auto budget = std::make_shared<byte_budget>(kMost, kAlways);
  constexpr std::size_t kLinks = 12;
  std::vector<std::shared_ptr<frame_link>> links;
  std::size_t closed = 0;
  std::size_t most_used = 0;
  for (std::size_t i = 0; i < kLinks; ++i) {
    std::array<int, 2> ends{};
    BOOST_REQUIRE(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
    links.push_back(std::make_shared<frame_link>(loop, ends[0]));
    links.back()->ShareMemory(budget);
    links.back()->Open([](frame_kind, std::string_view) {},
                       [&closed] { ++closed; });
  }
  const std::string payload(64U << 10U, 'x');
  int rounds = 0;
  std::function<void()> send = [&] {
    for (const auto& each : links) {
      each->Send(frame_kind::kRelayRequest, payload);
    }
    most_used = std::max(most_used, budget->Used());
    if (++rounds < 100) {
      loop.After(milliseconds(1), send);
    } else {
      loop.Stop();
    }
  };
  loop.Post(send);
  loop.Run();
  // Each was sent several times what all may use.
  BOOST_TEST(closed == kLinks);
  BOOST_TEST(budget->Used() == 0U);
  BOOST_TEST(most_used <= kMost + kLinks * (kAlways + payload.size()));
}

}  // namespace basilhoist
