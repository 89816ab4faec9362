// A process that was frozen finds expired timers and readable sockets together.
// A caller's close or a relay's cancel must be handled before a timer sends for
// them once more.
#include "basilhoist/loop/event_loop.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "basilhoist/link/frame_link.h"

namespace basilhoist {
namespace {

BOOST_AUTO_TEST_CASE(SocketsAreReadBeforeExpiredTimersRun) {
  event_loop loop;
  std::array<int, 2> sockets{};
  BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
  std::vector<std::string> order;
  fd_watch watch(loop, [&](bool, bool) {
    order.emplace_back("socket");
    watch.Set(-1, false, false);
  });
  watch.Set(sockets[0], true, false);
  loop.After(milliseconds(20), [&] {
    order.emplace_back("timer");
    loop.Stop();
  });
  loop.After(milliseconds(1), [&] {
    BOOST_TEST(send(sockets[1], "x", 1, 0) == 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  });
  loop.Run();
  BOOST_TEST(order.size() == 2U);
  BOOST_TEST(order.at(0) == "socket");
  for (const int fd : sockets) close(fd);
}

// The work of a frame starts in a posted task, which must not run if the link
// has closed behind the frame.
BOOST_AUTO_TEST_CASE(ACloseBehindAFrameIsHandledWithIt) {
  event_loop loop;
  std::array<int, 2> sockets{};
  BOOST_REQUIRE(
      socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()) == 0);
  std::vector<std::string> order;
  const auto link = std::make_shared<frame_link>(loop, sockets[0]);
  const std::string frame("\0\0\0\1\7x", 6);
  BOOST_TEST(send(sockets[1], frame.data(), frame.size(), 0) == 6);
  close(sockets[1]);
  link->Open(
      [&](frame_kind, std::string_view) {
        order.emplace_back("frame");
        loop.Post([&] {
          order.emplace_back("posted");
          loop.Stop();
        });
      },
      [&] { order.emplace_back("closed"); });
  loop.Run();
  const std::vector<std::string> expected = {"frame", "closed", "posted"};
  BOOST_TEST(order == expected, boost::test_tools::per_element());
}

}  // namespace
}  // namespace basilhoist
