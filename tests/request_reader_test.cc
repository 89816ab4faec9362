// Guards against requests whose end could be understood in two ways, against
// buffers that grow without limit, and against refusing what the limits allow.
#include "basilhoist/http/request_reader.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

namespace basilhoist {
namespace {

constexpr message_limits kLimits{.max_head_bytes = 16384,
                                 .max_body_bytes = 1000};
const std::string kHost = "Host: h\r\n";

// What a server reads from one connection: whole requests, or an error status.
struct reading {
  std::vector<received_request> requests;
  int status = 0;
  std::size_t left = 0;
};

// Passes bytes on in pieces, as a connection does.
reading ReadAll(std::string_view bytes, std::size_t piece = 65536) {
  reading result;
  auto reader = std::make_unique<request_reader>(kLimits);
  std::string input;
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    input += bytes.substr(at, piece);
    while (!input.empty()) {
      const request_progress before = reader->Progress();
      const std::size_t used = reader->Consume(input);
      input.erase(0, used);
      if (reader->Progress() == request_progress::kInvalid) {
        result.status = reader->Status();
        return result;
      }
      if (reader->Progress() == request_progress::kComplete) {
        result.requests.push_back(reader->Release());
        reader = std::make_unique<request_reader>(kLimits);
      } else if (used == 0 && before == reader->Progress()) {
        break;
      }
    }
  }
  result.left = input.size();
  return result;
}

int StatusOf(const std::string& bytes) { return ReadAll(bytes).status; }

std::string Post(const std::string& fields, const std::string& body) {
  return "POST /a HTTP/1.1\r\n" + kHost + fields + "\r\n" + body;
}

}  // namespace

BOOST_AUTO_TEST_CASE(RequestsWithTwoLengthsAreInvalid) {
  BOOST_TEST(
      StatusOf(Post("Content-Length: 1\r\nContent-Length: 1\r\n", "b")) == 400);
  BOOST_TEST(StatusOf(Post("Content-Length: 1, 1\r\n", "b")) == 400);
  BOOST_TEST(StatusOf(Post("Content-Length: 1\r\nContent-Length: 2\r\n",
                           "bb")) == 400);
  BOOST_TEST(StatusOf(Post("Content-Length: 5\r\n"
                           "Transfer-Encoding: chunked\r\n",
                           "0\r\n\r\n")) == 400);
  BOOST_TEST(StatusOf(Post("Transfer-Encoding: chunked\r\n"
                           "Content-Length: 5\r\n",
                           "0\r\n\r\n")) == 400);
  BOOST_TEST(StatusOf(Post("Transfer-Encoding: chunked\r\n"
                           "Transfer-Encoding: chunked\r\n",
                           "0\r\n\r\n")) == 400);
  for (const std::string length :
       {"-1", "+1", "0x1", "", "1 1", "1;", "99999999999999999999"}) {
    BOOST_TEST(StatusOf(Post("Content-Length: " + length + "\r\n", "b")) == 400,
               length);
  }
}

BOOST_AUTO_TEST_CASE(OtherTransferEncodingsThanChunkedAreInvalid) {
  for (const std::string encoding :
       {"gzip", "chunked, gzip", "gzip, chunked", "identity", "xchunked"}) {
    const int status =
        StatusOf(Post("Transfer-Encoding: " + encoding + "\r\n", "0\r\n\r\n"));
    BOOST_TEST((status == 501 || status == 400), encoding);
  }
  BOOST_TEST(StatusOf("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "0\r\n\r\n") == 400);
}

BOOST_AUTO_TEST_CASE(MalformedHeadsAreInvalid) {
  BOOST_TEST(StatusOf("GET / HTTP/1.1\r\n\r\n") == 400);  // no Host
  BOOST_TEST(StatusOf("GET / HTTP/1.1\r\n" + kHost + kHost + "\r\n") == 400);
  BOOST_TEST(StatusOf("GET / HTTP/2.0\r\n" + kHost + "\r\n") == 505);
  BOOST_TEST(StatusOf("GET /\r\n\r\n") == 400);
  BOOST_TEST(StatusOf("GET / HTTP/1.1\r\n" + kHost + "a b: c\r\n\r\n") == 400);
  BOOST_TEST(StatusOf("GET / HTTP/1.1\r\n" + kHost + "a : c\r\n\r\n") == 400);
  BOOST_TEST(StatusOf("GET / HTTP/1.1\r\n" + kHost + "a: c\rd\r\n\r\n") == 400);
  BOOST_TEST(StatusOf("\x16\x03\x01\x02\r\n\r\n") == 400);
}

BOOST_AUTO_TEST_CASE(TrailersAreNotHeaders) {
  const reading read = ReadAll(
      Post("Transfer-Encoding: chunked\r\n",
           "1\r\nb\r\n0\r\nX-Workspace: other\r\nConnection: a\r\n\r\n"));
  BOOST_REQUIRE(read.requests.size() == 1U);
  BOOST_TEST(read.requests[0].body == "b");
  BOOST_TEST(read.requests[0].headers.Count("X-Workspace") == 0U);
  BOOST_TEST(read.requests[0].headers.Count("Connection") == 0U);
}

// A field needs at least four bytes, so that many fit into the limit.
BOOST_AUTO_TEST_CASE(AHeadWithinTheLimitMayHaveAnyNumberOfFields) {
  std::string head = "GET / HTTP/1.1\r\n" + kHost;
  std::size_t fields = 1;
  while (head.size() + 6 <= kLimits.max_head_bytes) {
    head += "a:\r\n";
    ++fields;
  }
  head += "\r\n";
  const reading read = ReadAll(head);
  BOOST_REQUIRE(read.requests.size() == 1U);
  BOOST_TEST(fields > 4000U);
  BOOST_TEST(read.requests[0].head_bytes == head.size());
  BOOST_TEST(read.requests[0].headers.All().size() == fields);
  // The fields take at most a few times the bytes that were received.
  BOOST_TEST(read.requests[0].headers.Bytes() < 5 * head.size());
}

BOOST_AUTO_TEST_CASE(HeadsAboveTheLimitAreRefusedBeforeTheyEnd) {
  const std::string start = "GET / HTTP/1.1\r\n" + kHost;
  BOOST_TEST(StatusOf(start + std::string(20000, 'x')) == 431);
  std::string fields;
  while (fields.size() < 20000) fields += "X-A: 1\r\n";
  BOOST_TEST(StatusOf(start + fields) == 431);
  BOOST_TEST(StatusOf("GET /" + std::string(20000, 'x')) == 431);
  BOOST_TEST(StatusOf(std::string(20000, 'x')) == 431);
  BOOST_TEST(StatusOf(start + fields + "\r\n") == 431);
}

BOOST_AUTO_TEST_CASE(BodiesAboveTheLimitAreRefusedAtOnce) {
  BOOST_TEST(StatusOf(Post("Content-Length: 1001\r\n", "")) == 413);
  BOOST_TEST(StatusOf(Post("Transfer-Encoding: chunked\r\n", "3e9\r\n")) ==
             413);
  BOOST_TEST(StatusOf(Post("Transfer-Encoding: chunked\r\n",
                           "3e8\r\n" + std::string(1000, 'b') + "\r\n1\r\n")) ==
             413);
  BOOST_TEST(StatusOf(Post("Transfer-Encoding: chunked\r\n",
                           "ffffffffffffffff\r\n")) == 413);
  BOOST_TEST(
      StatusOf(Post("Content-Length: 1000\r\n", std::string(1000, 'b'))) == 0);
}

// The input that is not used yet stays with the connection.
BOOST_AUTO_TEST_CASE(EndlessChunkHeadsAndTrailersAreRefused) {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  BOOST_TEST(StatusOf(Post(chunked, "1;" + std::string(20000, 'e'))) == 400);
  std::string trailers;
  while (trailers.size() < 20000) trailers += "X-A: 1\r\n";
  BOOST_TEST(StatusOf(Post(chunked, "0\r\n" + trailers)) == 400);
}

BOOST_AUTO_TEST_CASE(MemoryOfABodyFollowsWhatHasArrived) {
  request_reader reader({.max_head_bytes = 1000, .max_body_bytes = 1 << 20});
  const std::string head = Post("Content-Length: 1000000\r\n", "");
  reader.Consume(head);
  BOOST_TEST(reader.StatedBytesLeft() == 1000000U);
  BOOST_TEST(reader.BodyBytes() < 1000U);
  reader.Consume(std::string(100000, 'b'));
  BOOST_TEST(reader.BodyBytes() <= 200000U);
  reader.Consume(std::string(899999, 'b'));
  BOOST_TEST(reader.BodyBytes() <= 1000000U);
  BOOST_TEST((reader.Progress() == request_progress::kBody));
}

// However the bytes are cut into pieces, the same requests are read.
RC_BOOST_PROP(PiecesDoNotChangeWhatIsRead, ()) {
  std::string bytes;
  std::vector<std::string> bodies;
  const int count = *rc::gen::inRange(1, 4);
  for (int i = 0; i < count; ++i) {
    const std::string body =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    const bool chunked = *rc::gen::arbitrary<bool>();
    bodies.push_back(body.substr(0, 1000));
    if (!chunked) {
      bytes += Post(
          "Content-Length: " + std::to_string(bodies.back().size()) + "\r\n",
          bodies.back());
      continue;
    }
    std::string encoded;
    for (const char each : bodies.back()) {
      encoded += "1\r\n";
      encoded += each;
      encoded += "\r\n";
    }
    bytes += Post("Transfer-Encoding: chunked\r\n", encoded + "0\r\n\r\n");
  }
  const auto piece = *rc::gen::inRange<std::size_t>(1, 200);
  const reading read = ReadAll(bytes, piece);
  RC_ASSERT(read.status == 0);
  RC_ASSERT(read.left == 0U);
  RC_ASSERT(read.requests.size() == bodies.size());
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    RC_ASSERT(read.requests[i].body == bodies[i]);
  }
}

}  // namespace basilhoist
