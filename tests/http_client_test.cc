// The HTTP client never sends a request twice, whatever the connection does.
#include "basilhoist/http/http_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace {

using basilhoist::event_loop;
using basilhoist::http_client;
using basilhoist::http_result;
using basilhoist::milliseconds;

constexpr std::string_view kReply =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Answers the first request of each connection and closes the connection on
// the second one, after it has read it: a server that dies.
class breaking_server {
 public:
  breaking_server() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof where;
    BOOST_REQUIRE_EQUAL(
        bind(listener_, reinterpret_cast<sockaddr*>(&where), size), 0);
    listen(listener_, 8);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&where), &size);
    port_ = ntohs(where.sin_port);
    thread_ = std::thread([this] { Serve(); });
  }

  ~breaking_server() {
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
      const auto got = recv(fd, chunk, sizeof chunk, 0);
      if (got <= 0) return false;
      text.append(chunk, static_cast<std::size_t>(got));
    }
    ++requests_;
    return true;
  }

  int listener_;
  std::uint16_t port_ = 0;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

struct outcome {
  bool answered = false;
  bool sent = false;
};

outcome Call(event_loop& loop, http_client& client, const std::string& url,
             bool may_send = true) {
  outcome ended;
  client.Start({.url = url,
                .timeout = milliseconds(2000),
                .may_send = [may_send] { return may_send; }},
               [&](http_result& result) {
                 ended = {result.Answered(), result.Sent()};
                 loop.Stop();
               });
  loop.Run();
  return ended;
}

}  // namespace

BOOST_AUTO_TEST_CASE(ARequestOnADeadConnectionIsNotSentAgain) {
  breaking_server server;
  event_loop loop;
  http_client client(loop);
  BOOST_TEST(Call(loop, client, server.Url()).answered);
  const outcome second = Call(loop, client, server.Url());
  BOOST_TEST(!second.answered);
  BOOST_TEST(second.sent);
  BOOST_TEST(server.Requests() == 2);
}

BOOST_AUTO_TEST_CASE(AWithdrawnPermitKeepsEveryByteBack) {
  breaking_server server;
  event_loop loop;
  http_client client(loop);
  const outcome ended = Call(loop, client, server.Url(), false);
  BOOST_TEST(!ended.answered);
  BOOST_TEST(!ended.sent);
  BOOST_TEST(server.Requests() == 0);
}
