// Tests how the HTTP server passes on requests, detects callers that close
// their connection, and stops.
#include "basilhoist/http/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "free_port.h"

namespace basilhoist {
namespace {

// A caller on the loopback interface that uses its socket directly.
class caller {
 public:
  explicit caller(std::uint16_t port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE_EQUAL(
        connect(fd_, reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint),
        0);
  }
  ~caller() { Close(); }
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;

  void Send(const std::string& bytes) const {
    static_cast<void>(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  std::string Receive() const {
    char bytes[4096];
    const auto count = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    return count > 0 ? std::string(bytes, static_cast<std::size_t>(count)) : "";
  }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
};

const std::string kRequest =
    "GET /a%2Fb/../c?x=%41&y HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nx-a: 2\r\n\r\n";

struct fixture {
  event_loop loop;
  std::vector<std::shared_ptr<http_exchange>> received;
  std::uint16_t port = basilhoist::test::FreePort();
  http_server server{loop,
                     {.address = "127.0.0.1", .port = port},
                     [this](const std::shared_ptr<http_exchange>& exchange) {
                       received.push_back(exchange);
                     }};

  int closed_callers = 0;  // Callers that closed before the reply was sent.

  void RunFor(int ms) {
    loop.After(milliseconds(ms), [this] { loop.Stop(); });
    loop.Run();
  }

  // Sends a request from the caller, waits until the handler has received it,
  // and counts the caller in closed_callers if it closes before the reply.
  void SendRequestFrom(const caller& from) {
    from.Send(kRequest);
    RunFor(30);
    received.at(0)->OnCallerClosed([this] { ++closed_callers; });
  }
};

BOOST_FIXTURE_TEST_CASE(PassesOnTargetAndHeadersUnchanged, fixture) {
  const caller one(port);
  one.Send(kRequest);
  RunFor(30);
  BOOST_REQUIRE(received.size() == 1U);
  BOOST_TEST(received[0]->Target() == "/a%2Fb/../c?x=%41&y");
  std::vector<std::string> values;
  for (const http_header& header : received[0]->Headers()) {
    if (header.name == "X-A" || header.name == "x-a") {
      values.push_back(header.value);
    }
  }
  BOOST_TEST(values == (std::vector<std::string>{"1", "2"}));
  received[0]->Reply({.body = "x"});
  RunFor(30);
  BOOST_TEST(one.Receive().ends_with("x"));
}

BOOST_FIXTURE_TEST_CASE(DetectsCallerThatCloses, fixture) {
  caller one(port);
  SendRequestFrom(one);
  RunFor(30);
  BOOST_TEST(closed_callers == 0);
  one.Close();
  RunFor(30);
  BOOST_TEST(closed_callers == 1);
  received[0]->Reply({});
  RunFor(30);
  BOOST_TEST(server.Connections() == 0U);
}

BOOST_FIXTURE_TEST_CASE(DoesNotReportCloseAfterReply, fixture) {
  caller one(port);
  SendRequestFrom(one);
  received[0]->Reply({});
  one.Close();
  RunFor(30);
  BOOST_TEST(closed_callers == 0);
}

BOOST_FIXTURE_TEST_CASE(DoesNotMistakePipelinedRequestForClose, fixture) {
  const caller one(port);
  SendRequestFrom(one);
  one.Send(kRequest);
  RunFor(30);
  BOOST_TEST(closed_callers == 0);
  received[0]->Reply({});
  RunFor(30);
  BOOST_TEST(received.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(SendsConnectionCloseAfterCloseAfterReplies, fixture) {
  const caller one(port);
  one.Send(kRequest);
  RunFor(30);
  server.CloseAfterReplies();
  received.at(0)->Reply({});
  RunFor(30);
  BOOST_TEST(one.Receive().find("Connection: close") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(DetectsCloseAfterPipelinedRequest, fixture) {
  caller one(port);
  SendRequestFrom(one);
  one.Send(kRequest);
  RunFor(30);
  one.Close();
  RunFor(500);
  BOOST_TEST(closed_callers == 1);
}

BOOST_FIXTURE_TEST_CASE(ClosesConnectionWithSlowHeaders, fixture) {
  server.SetTimeouts({.header = milliseconds(300), .idle = milliseconds(200)});
  const caller slow(port);
  for (const char byte : kRequest.substr(0, 24)) {
    slow.Send({byte});
    RunFor(100);
  }
  BOOST_TEST(server.Connections() == 0U);
  BOOST_TEST(received.empty());
}

BOOST_FIXTURE_TEST_CASE(DoesNotTimeOutRequestInProgress, fixture) {
  server.SetTimeouts({.header = milliseconds(300), .idle = milliseconds(200)});
  const caller one(port);
  one.Send(kRequest);
  RunFor(2000);
  received.at(0)->Reply({.body = "x"});
  RunFor(30);
  BOOST_TEST(one.Receive().ends_with("x"));
}

// Guards against a fault of a router that was shutting down: it called Quiesce
// every 20 ms, and each call after the first closed whichever socket had
// received the descriptor number of the listening socket. (Quetzal's
// hunt-8054-3)
BOOST_FIXTURE_TEST_CASE(SecondQuiesceClosesNoOtherSocket, fixture) {
  RunFor(10);
  server.Quiesce();
  // A new socket gets the lowest free descriptor number, which is the one of
  // the closed listening socket.
  const int other = socket(AF_INET, SOCK_STREAM, 0);
  server.Quiesce();
  int type = 0;
  socklen_t size = sizeof type;
  BOOST_TEST(getsockopt(other, SOL_SOCKET, SO_TYPE, &type, &size) == 0);
  close(other);
}

// A request that is still in the socket's receive buffer when the server stops
// must stay unread, so that its caller knows that it has not run. (Quetzal's
// trouble-2)
BOOST_FIXTURE_TEST_CASE(ReadsNoRequestAfterStop, fixture) {
  const caller one(port);
  RunFor(30);
  one.Send(kRequest);
  loop.Post([this] {
    server.Stop();
    loop.Stop();
  });
  loop.Run();
  BOOST_TEST(received.empty());
}

}  // namespace
}  // namespace basilhoist
