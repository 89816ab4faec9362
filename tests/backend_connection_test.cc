// Replies of backend servers are taken whole or not at all, each by its own
// request, whatever bytes arrive.
#include "basilhoist/backend/backend_connection.h"

#include <boost/test/unit_test.hpp>

#include "basilhoist/backend/backend_pool.h"
#include "scripted_server.h"

namespace basilhoist {
namespace {

using test::scripted_connection;
using test::scripted_server;

const std::string kReply =
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody";

backend_request Request(const std::string& id = "r1") {
  return {.head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
          .echo_header = "X-Id",
          .echo_value = id};
}

// Sends one request to the server and waits for how it ends.
backend_reply Exchange(const scripted_server& server,
                       backend_request request = Request()) {
  event_loop loop;
  backend_reply ended;
  byte_budget replies(backend_pool::kMaxTotalReplyBytes,
                      backend_pool::kReservedReplyBytes);
  backend_connection connection(
      loop, server.Address(), [] {}, replies);
  connection.Send(std::move(request), [&](const backend_reply& reply) {
    ended = reply;
    loop.Stop();
  });
  loop.After(milliseconds(3000), [&] {
    ended.status = -1;  // no end at all
    loop.Stop();
  });
  loop.Run();
  return ended;
}

backend_reply AfterBytes(const std::string& bytes, bool reset = false) {
  const scripted_server server([&](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Send(bytes);
    if (reset) connection.Reset();
  });
  return Exchange(server);
}

BOOST_AUTO_TEST_CASE(AWholeReplyIsTaken) {
  const backend_reply reply = AfterBytes(kReply);
  BOOST_TEST((reply.error == exchange_error::kNone));
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(reply.body == "body");
  BOOST_TEST(*reply.Header("x-ID") == "r1");
}

BOOST_AUTO_TEST_CASE(AReplyCutAtAnyByteIsNoReply) {
  for (std::size_t size = 0; size < kReply.size(); ++size) {
    const backend_reply reply = AfterBytes(kReply.substr(0, size));
    BOOST_TEST((reply.error != exchange_error::kNone), "cut at " << size);
    BOOST_TEST(reply.sent);
  }
}

BOOST_AUTO_TEST_CASE(AReplyWithoutALengthEndsWithItsConnection) {
  const std::string open = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of it";
  const backend_reply whole = AfterBytes(open);
  BOOST_TEST((whole.error == exchange_error::kNone));
  BOOST_TEST(whole.body == "all of it");
}

BOOST_AUTO_TEST_CASE(AResetIsNoEndOfAReply) {
  const scripted_server server([](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Send("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\npart of it");
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    connection.Reset();
  });
  BOOST_TEST((Exchange(server).error == exchange_error::kBroken));
}

BOOST_AUTO_TEST_CASE(ChunkedRepliesAreTakenWholeOnly) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  BOOST_TEST(AfterBytes(head + "4\r\nbody\r\n0\r\n\r\n").body == "body");
  BOOST_TEST(
      (AfterBytes(head + "4\r\nbody\r\n").error == exchange_error::kBroken));
  BOOST_TEST(
      (AfterBytes(head + "zz\r\nbody\r\n").error == exchange_error::kGarbled));
}

BOOST_AUTO_TEST_CASE(BytesThatAreNoReplyAreGarbled) {
  BOOST_TEST(
      (AfterBytes("what is this\r\n\r\n").error == exchange_error::kGarbled));
}

BOOST_AUTO_TEST_CASE(AReplyToAnotherRequestIsNotTaken) {
  std::string other = kReply;
  other.replace(other.find("r1"), 2, "r0");
  BOOST_TEST((AfterBytes(other + kReply).error == exchange_error::kGarbled));
}

BOOST_AUTO_TEST_CASE(AnInterimReplyIsSkipped) {
  BOOST_TEST(AfterBytes("HTTP/1.1 100 Continue\r\n\r\n" + kReply).body ==
             "body");
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionSendsNothing) {
  endpoint nobody;
  {
    nobody = scripted_server([](scripted_connection&) {}).Address();
  }
  event_loop loop;
  backend_reply ended;
  byte_budget replies(backend_pool::kMaxTotalReplyBytes,
                      backend_pool::kReservedReplyBytes);
  backend_connection connection(
      loop, nobody, [] {}, replies);
  connection.Send(Request(), [&](const backend_reply& reply) {
    ended = reply;
    loop.Stop();
  });
  loop.Run();
  BOOST_TEST((ended.error == exchange_error::kRefused));
  BOOST_TEST(!ended.sent);
}

listen_state CheckOf(const endpoint& where) {
  event_loop loop;
  backend_pool pool(loop);
  listed_server server;
  server.info.address = where;
  auto found = listen_state::kUnknown;
  pool.CheckListening(server, [&](listen_state state) {
    found = state;
    loop.Stop();
  });
  loop.Run();
  return found;
}

BOOST_AUTO_TEST_CASE(ACheckTellsAServerThatListensFromOneThatHasEnded) {
  endpoint where;
  {
    const scripted_server server([](scripted_connection& connection) {
      BOOST_TEST(connection.ReadRequest().empty());
    });
    where = server.Address();
    BOOST_TEST((CheckOf(where) == listen_state::kListening));
  }
  BOOST_TEST((CheckOf(where) == listen_state::kRefused));
}

// Two requests over a pool; the script sees how many connections they took.
int ConnectionsForTwo(const scripted_server::script& script,
                      std::vector<backend_reply>& replies) {
  int connections = 0;
  const scripted_server server([&](scripted_connection& connection) {
    connections = connection.Number() + 1;
    script(connection);
  });
  event_loop loop;
  backend_pool pool(loop);
  listed_server target{.key = 1, .info = {.address = server.Address()}};
  const auto send = [&](auto then) {
    pool.Send(target, 4, false, Request(), [&, then](backend_reply reply) {
      replies.push_back(std::move(reply));
      // What the server sends after its reply arrives in the meantime.
      loop.After(milliseconds(50), then);
    });
  };
  send([&] { send([&] { loop.Stop(); }); });
  loop.After(milliseconds(3000), [&] { loop.Stop(); });
  loop.Run();
  pool.RemoveServer(target);
  return connections;
}

BOOST_AUTO_TEST_CASE(AConnectionInStepIsUsedAgain) {
  std::vector<backend_reply> replies;
  BOOST_TEST(ConnectionsForTwo(
                 [](scripted_connection& connection) {
                   while (!connection.ReadRequest().empty()) {
                     connection.Send(kReply);
                   }
                 },
                 replies) == 1);
  BOOST_TEST(replies.size() == 2U);
}

BOOST_AUTO_TEST_CASE(BytesAfterAReplyEndTheConnection) {
  std::vector<backend_reply> replies;
  BOOST_TEST(ConnectionsForTwo(
                 [](scripted_connection& connection) {
                   connection.ReadRequest();
                   connection.Send(kReply + kReply);
                   connection.ReadRequest();
                 },
                 replies) == 2);
  BOOST_REQUIRE(replies.size() == 2U);
  BOOST_TEST((replies[1].error == exchange_error::kNone));
}

BOOST_AUTO_TEST_CASE(BytesOnAnIdleConnectionEndIt) {
  std::vector<backend_reply> replies;
  BOOST_TEST(ConnectionsForTwo(
                 [](scripted_connection& connection) {
                   connection.ReadRequest();
                   connection.Send(kReply);
                   std::this_thread::sleep_for(std::chrono::milliseconds(10));
                   connection.Send(kReply);
                   connection.ReadRequest();
                 },
                 replies) == 2);
  BOOST_REQUIRE(replies.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AConnectionThatIsToCloseIsNotUsedAgain) {
  std::vector<backend_reply> replies;
  BOOST_TEST(ConnectionsForTwo(
                 [](scripted_connection& connection) {
                   connection.ReadRequest();
                   connection.Send(
                       "HTTP/1.1 200 OK\r\nX-Id: r1\r\nConnection: close\r\n"
                       "Content-Length: 0\r\n\r\n");
                   connection.ReadRequest();
                 },
                 replies) == 2);
}

// The rest of a long body is still to be sent when the reply is in, so the
// next request must not go where that rest is due.
BOOST_AUTO_TEST_CASE(AnEarlyReplyToALongBodyEndsTheConnection) {
  const scripted_server server([](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Send(kReply);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  });
  event_loop loop;
  bool open = true;
  byte_budget replies(backend_pool::kMaxTotalReplyBytes,
                      backend_pool::kReservedReplyBytes);
  backend_connection connection(
      loop, server.Address(), [] {}, replies);
  backend_request request = Request();
  request.body =
      std::make_shared<const std::string>(std::string(64U << 20U, 'x'));
  connection.Send(std::move(request), [&](const backend_reply& reply) {
    BOOST_TEST((reply.error == exchange_error::kNone));
    open = connection.Open();
    loop.Stop();
  });
  loop.After(milliseconds(3000), [&] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(!open);
}

}  // namespace
}  // namespace basilhoist
