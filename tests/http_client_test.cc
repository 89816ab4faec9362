// Tests that the HTTP client sends a request at most once, also when its
// connection fails.
#include "basilhoist/http/http_client.h"

#include <arpa/inet.h>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "scripted_server.h"

namespace {

using basilhoist::event_loop;
using basilhoist::http_client;
using basilhoist::http_result;
using basilhoist::milliseconds;

constexpr milliseconds kCallTimeout{2000};
constexpr std::size_t kMaxReplyBytes = 1U << 20U;
// What a server without an end sends at a time.
constexpr std::size_t kPourBytes = 64U << 10U;
// Memory of a call: its reply, twice while the buffer grows, and its head.
constexpr std::size_t kMaxGrowth = 4 * kMaxReplyBytes;
constexpr std::string_view kReply =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Simulates a server that fails while it handles a request. It replies to the
// first request on each connection; after reading the second one it closes the
// connection without a reply.
class failing_server {
 public:
  failing_server() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof endpoint;
    BOOST_REQUIRE_EQUAL(
        bind(listener_, reinterpret_cast<sockaddr*>(&endpoint), size), 0);
    listen(listener_, 8);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&endpoint), &size);
    port_ = ntohs(endpoint.sin_port);
    thread_ = std::thread([this] { Serve(); });
  }

  ~failing_server() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(port_) + "/run";
  }
  int Requests() const { return requests_; }

 private:
  void Serve() {
    while (true) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0) return;
      if (ReadRequest(fd)) {
        static_cast<void>(send(fd, kReply.data(), kReply.size(), 0));
        ReadRequest(fd);
      }
      close(fd);
    }
  }

  bool ReadRequest(int fd) {
    std::string text;
    char chunk[1024];
    while (text.find("\r\n\r\n") == std::string::npos) {
      const auto received = recv(fd, chunk, sizeof chunk, 0);
      if (received <= 0) return false;
      text.append(chunk, static_cast<std::size_t>(received));
    }
    ++requests_;
    return true;
  }

  int listener_;
  std::uint16_t port_ = 0;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

struct outcome {
  bool has_reply = false;
  bool sent = false;
};

// Runs one call and returns its outcome.
outcome Call(event_loop& loop, http_client& client, const std::string& url,
             bool may_send = true) {
  outcome observed;
  client.Start({.url = url,
                .timeout = kCallTimeout,
                .max_reply_bytes = kMaxReplyBytes,
                .may_send = [may_send] { return may_send; }},
               [&](http_result& result) {
                 observed = {result.HasReply(), result.Sent()};
                 loop.Stop();
               });
  loop.Run();
  return observed;
}

}  // namespace

BOOST_AUTO_TEST_CASE(DoesNotRetryRequestOnFailedConnection) {
  failing_server server;
  event_loop loop;
  http_client client(loop);
  BOOST_TEST(Call(loop, client, server.Url()).has_reply);
  const outcome second = Call(loop, client, server.Url());
  BOOST_TEST(!second.has_reply);
  BOOST_TEST(second.sent);
  BOOST_TEST(server.Requests() == 2);
}

BOOST_AUTO_TEST_CASE(SendsNothingIfMaySendReturnsFalse) {
  failing_server server;
  event_loop loop;
  http_client client(loop);
  const outcome observed = Call(loop, client, server.Url(), false);
  BOOST_TEST(!observed.has_reply);
  BOOST_TEST(!observed.sent);
  BOOST_TEST(server.Requests() == 0);
}

// A reply of the store or of an owned server whose status is none must not
// count as one: its "not run" header and its body are not to be believed.
BOOST_AUTO_TEST_CASE(AReplyWithoutAFinalStatusIsNoReply) {
  for (const char* status : {"000", "001", "099", "100", "101", "199", "600",
                             "999", "20", "2000", "abc", "-20"}) {
    const basilhoist::test::scripted_server server([&](auto& connection) {
      connection.ReadRequest();
      connection.Send("HTTP/1.1 " + std::string(status) +
                      " X\r\nContent-Length: 2\r\n\r\nok");
    });
    event_loop loop;
    http_client client(loop);
    const outcome observed =
        Call(loop, client, "http://" + Format(server.Address()) + "/");
    BOOST_TEST(!observed.has_reply, "status " << status);
    BOOST_TEST(observed.sent);
  }
}

// What the store, or a server of the first path, sends without end must not
// fill the memory of the process until the call times out.
BOOST_AUTO_TEST_CASE(AReplyWithoutAnEndEndsTheCall) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  struct endless_reply {
    const char* name;
    std::string start;
    std::string repeated;
  };
  const std::vector<endless_reply> replies = {
      {"fields", "HTTP/1.1 200 OK\r\n", "a:\r\n"},
      {"a field", "HTTP/1.1 200 OK\r\na: ", "xxxx"},
      {"interim replies", "", "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n"},
      {"a body", "HTTP/1.1 200 OK\r\n\r\n", "xxxx"},
      {"trailer fields", chunked + "0\r\n", "a:\r\n"}};
  for (const endless_reply& reply : replies) {
    const basilhoist::test::scripted_server server([&](auto& connection) {
      connection.ReadRequest();
      connection.Send(reply.start);
      std::string many;
      while (many.size() < kPourBytes) many += reply.repeated;
      while (connection.Send(many)) {
      }
    });
    event_loop loop;
    http_client client(loop);
    const std::size_t before = AllocatedBytes();
    std::size_t most = before;
    loop.Every(milliseconds(1),
               [&] { most = std::max(most, AllocatedBytes()); });
    const auto began = basilhoist::Now();
    const outcome observed =
        Call(loop, client, "http://" + Format(server.Address()) + "/");
    const auto took = basilhoist::Now() - began;
    BOOST_TEST(!observed.has_reply, reply.name);
    BOOST_TEST((took < kCallTimeout / 2), reply.name);
    BOOST_TEST(most < before + kMaxGrowth,
               reply.name << " grew by " << most - before);
  }
}
