// Bytes of callers, in pieces of any size: never a crash, and whatever is sent
// on to a backend server is exactly one request with the body's own length, so
// that no part of a caller's bytes is taken for a request of its own.
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "../free_port.h"
#include "basilhoist/http/http_server.h"
#include "basilhoist/router/request_handler.h"

using namespace basilhoist;

namespace {

constexpr std::size_t kMostPieces = 4;

const header_names kNames = {.request_id = "X-Id",
                             .timeout_ms = "X-Left",
                             .target_server = "X-Server",
                             .not_executed = "X-Not-Run",
                             .signature = "X-Proof",
                             .shard_signatures = "X-Proofs",
                             .missing_shards = "X-Missing",
                             .warmup_remaining_ms = "X-Warmup",
                             .retry_after = "Retry-After"};

void Require(bool holds) {
  if (!holds) std::abort();
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char each) {
    return std::isgraph(static_cast<unsigned char>(each)) != 0 && each != ':';
  });
}

std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find("\r\n");
  Require(end != std::string_view::npos);
  const std::string_view line = text.substr(0, end);
  Require(line.find_first_of(std::string_view("\r\n\0", 3)) ==
          std::string_view::npos);
  text.remove_prefix(end + 2);
  return line;
}

void CheckHead(std::string_view head, std::size_t body_size) {
  const std::string_view first = TakeLine(head);
  Require(std::count(first.begin(), first.end(), ' ') == 2);
  Require(first.ends_with(" HTTP/1.1"));
  int lengths = 0;
  int servers = 0;
  int times = 0;
  while (true) {
    const std::string_view line = TakeLine(head);
    if (line.empty()) break;
    const std::size_t colon = line.find(": ");
    Require(colon != std::string_view::npos);
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = line.substr(colon + 2);
    Require(IsToken(name));
    Require(!SameHeader(name, "Transfer-Encoding"));
    Require(!SameHeader(name, "Connection"));
    if (SameHeader(name, "Content-Length")) {
      ++lengths;
      Require(value == std::to_string(body_size));
    }
    servers += SameHeader(name, kNames.target_server) ? 1 : 0;
    times += SameHeader(name, kNames.timeout_ms) ? 1 : 0;
  }
  Require(head.empty());
  Require(lengths == (body_size > 0 ? 1 : lengths) && lengths <= 1);
  Require(servers == 1 && times == 1);
}

// Checks what it gets and answers it.
class checking_sender : public request_sender {
 public:
  explicit checking_sender(event_loop& loop) : loop_(loop) {}

  std::uint64_t Send(const listed_server&, unsigned, bool,
                     backend_request request, reply_handler done) override {
    CheckHead(request.head, request.body->size());
    loop_.Post([done = std::move(done)] {
      done({.sent = true,
            .status = 200,
            .headers = {{.name = kNames.signature, .value = "p"}},
            .body = "x"});
    });
    return ++last_id_;
  }
  bool CanSend(const listed_server&, unsigned) const override { return true; }
  void CheckListening(const listed_server&, listen_check::handler) override {}
  void Abandon(std::uint64_t) override {}

 private:
  event_loop& loop_;
  std::uint64_t last_id_ = 0;
};

struct rig {
  event_loop loop;
  checking_sender sender{loop};
  server_directory directory;
  dispatcher shared{loop, sender, directory, {.names = kNames}};
  request_handler handler{shared};
  std::uint16_t port = test::FreePort();
  http_server server{
      loop,
      {.address = "127.0.0.1", .port = port},
      [this](const auto& exchange) { handler.Handle(exchange); }};

  rig() {
    route any{.name = "any",
              .host = "h",
              .path_prefix = "/",
              .idempotent = true,
              .timeout = milliseconds(1000),
              .objective = milliseconds(500),
              .max_attempts = 2,
              .services = {{.service = "s", .weight = 1}}};
    shared.table = std::make_shared<routing_table>(
        routing_table_options{.version = 1, .routes = {any}});
    directory.Apply({{.id = "one",
                      .service = "s",
                      .address = {.address = "127.0.0.1", .port = 1},
                      .slots = 2}},
                    Now());
    Require(server.Listening());
  }

  // Enough turns for what has been sent to be read, handled and answered.
  void RunFor(microseconds span) {
    loop.After(span, [this] { loop.Stop(); });
    loop.Run();
  }
};

int Connect(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(port);
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Require(connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof where) == 0);
  // A reset, so that closed connections do not use up the ports.
  const linger hard{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  return fd;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static rig one;
  if (size < 2) return 0;
  const std::size_t pieces = 1 + data[0] % kMostPieces;
  const std::string_view bytes(reinterpret_cast<const char*>(data + 1),
                               size - 1);
  const int fd = Connect(one.port);
  const std::size_t piece = bytes.size() / pieces + 1;
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    const std::string_view part = bytes.substr(at, piece);
    static_cast<void>(
        send(fd, part.data(), part.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    one.RunFor(microseconds(300));
  }
  one.RunFor(microseconds(300));
  close(fd);
  one.RunFor(microseconds(100));
  return 0;
}
