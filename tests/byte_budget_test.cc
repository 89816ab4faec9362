// Guards against exhausting memory when many buffers grow at the same time:
// replies of backend servers, and links to peers that don't read.
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

constexpr std::size_t kTotalLimit = 1U << 20U;
constexpr std::size_t kReservedPerBuffer = 4096;

}  // namespace

// A buffer is released when its Resize returns false, as owners of buffers do.
RC_BOOST_PROP(BuffersReleasedOnRefusalStayWithinTheLimit, ()) {
  byte_budget budget(kTotalLimit, kReservedPerBuffer);
  std::array<std::size_t, 20> sizes{};
  const auto steps = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, sizes.size()));
  for (const std::size_t buffer : steps) {
    const auto growth = *rc::gen::inRange<std::size_t>(1, kTotalLimit / 4);
    const auto new_size = sizes[buffer] + growth;
    if (!budget.Resize(sizes[buffer], new_size)) {
      budget.Resize(sizes[buffer], 0);
    }
    RC_ASSERT(budget.Used() <= kTotalLimit + sizes.size() * kReservedPerBuffer);
    std::size_t total = 0;
    for (const std::size_t size : sizes) total += size;
    RC_ASSERT(budget.Used() == total);
  }
}

BOOST_AUTO_TEST_CASE(ASmallBufferMayGrowWhenAnotherUsesTheWholeBudget) {
  byte_budget budget(kTotalLimit, kReservedPerBuffer);
  std::size_t large = 0;
  std::size_t small = 0;
  BOOST_TEST(budget.Resize(large, kTotalLimit));
  BOOST_TEST(budget.Resize(small, kReservedPerBuffer));
  BOOST_TEST(!budget.Resize(small, kReservedPerBuffer + 1));
  BOOST_TEST(!budget.Resize(large, kTotalLimit + 1));
}

BOOST_AUTO_TEST_CASE(EndlessInterimRepliesAreInvalid) {
  reply_reader reader({});
  read_state reached = read_state::kIncomplete;
  int consumed = 0;
  while (reached == read_state::kIncomplete && consumed < 1000) {
    reached = reader.Consume("HTTP/1.1 102 Processing\r\n\r\n");
    ++consumed;
  }
  BOOST_TEST((reached == read_state::kInvalid));
  BOOST_TEST(consumed == reply_reader::kMaxInterimReplies + 1);
}

BOOST_AUTO_TEST_CASE(BufferedCountsTheIncompleteReply) {
  reply_reader reader({});
  reader.Consume("HTTP/1.1 200 OK\r\n\r\n");
  const std::string piece(10000, 'x');
  for (int i = 0; i < 20; ++i) reader.Consume(piece);
  BOOST_TEST(reader.Buffered() >= 20 * piece.size());
}

// A relay that stops reading leaves data queued for it. Its link must be closed
// before the queues of all links use up the memory of the process.
BOOST_AUTO_TEST_CASE(LinksToPeersThatDoNotReadAreClosed) {
  event_loop loop;
  const auto budget =
      std::make_shared<byte_budget>(kTotalLimit, kReservedPerBuffer);
  constexpr std::size_t kLinks = 12;
  std::vector<std::shared_ptr<frame_link>> links;
  std::size_t closed = 0;
  std::size_t max_used = 0;
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
    for (const auto& link : links) {
      link->Send(frame_kind::kRelayRequest, payload);
    }
    max_used = std::max(max_used, budget->Used());
    if (++rounds < 100) {
      loop.After(milliseconds(1), send);
    } else {
      loop.Stop();
    }
  };
  loop.Post(send);
  loop.Run();
  // Each link was sent several times the total limit.
  BOOST_TEST(closed == kLinks);
  BOOST_TEST(budget->Used() == 0U);
  BOOST_TEST(max_used <=
             kTotalLimit + kLinks * (kReservedPerBuffer + payload.size()));
}

}  // namespace basilhoist
