// Guards against replies of backend servers that grow without limit or without
// being counted, however their bytes are cut into pieces. Routers kept header
// fields without end until they were out of memory.
#include "basilhoist/backend/reply_reader.h"

#include <malloc.h>
#include <rapidcheck/boost_test.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace basilhoist {
namespace {

constexpr std::size_t kMaxHeadBytes = 64U << 10U;
constexpr std::size_t kMaxBodyBytes = 16U << 20U;
// Largest read of a connection.
constexpr std::size_t kPieceBytes = 16U << 10U;
// Fixed memory of a reader, and what the allocator adds to each of its buffers.
constexpr std::size_t kUncountedBytes = 8192;
// Part of a reply whose memory is compared piece by piece.
constexpr std::size_t kTestedBytes = 2 * kMaxHeadBytes;
const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A reply that does not end: its start, then the same bytes again and again.
struct endless_reply {
  std::string_view name;
  std::string start;
  std::string repeated;
  std::size_t max_bytes;  // that a reader may take
};

const std::array<endless_reply, 9>& EndlessReplies() {
  static const std::array<endless_reply, 9> replies = {{
      {"short fields", "HTTP/1.1 200 OK\r\n", "a:\r\n", kMaxHeadBytes},
      {"long fields", "HTTP/1.1 200 OK\r\n",
       "X-More: " + std::string(5000, 'x') + "\r\n", kMaxHeadBytes},
      {"folded lines", "HTTP/1.1 200 OK\r\n", "a: b\r\n c\r\n", kMaxHeadBytes},
      {"a field without an end", "HTTP/1.1 200 OK\r\nX-More: ", "x",
       kMaxHeadBytes},
      {"a reason without an end", "HTTP/1.1 200 ", "x", kMaxHeadBytes},
      {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n",
       std::string(1024, 'x'), kMaxBodyBytes},
      {"trailer fields", kChunkedHead + "0\r\n", "a:\r\n", kMaxHeadBytes},
      {"a chunk extension", kChunkedHead + "5;x=", "x", kMaxHeadBytes},
      {"a chunk size", kChunkedHead, "0", kMaxHeadBytes},
  }};
  return replies;
}

// Passes a reply on in pieces of these sizes, in turn.
class endless_sender {
 public:
  endless_sender(const endless_reply& reply, std::vector<std::size_t> pieces)
      : pieces_(std::move(pieces)), bytes_(reply.start) {
    while (bytes_.size() < reply.max_bytes + 4 * kPieceBytes) {
      bytes_ += reply.repeated;
    }
  }

  // Returns the next piece; empty once all bytes were returned.
  std::string_view Next() {
    const std::size_t size = pieces_[turn_++ % pieces_.size()];
    const std::string_view piece = std::string_view(bytes_).substr(
        sent_, std::min(size, bytes_.size() - sent_));
    sent_ += piece.size();
    return piece;
  }

  [[nodiscard]] std::size_t Sent() const { return sent_; }

 private:
  std::vector<std::size_t> pieces_;
  std::string bytes_;
  std::size_t sent_ = 0;
  std::size_t turn_ = 0;
};

// Returns how many bytes the reader took before it rejected the reply, or all
// bytes if it did not.
std::size_t BytesTaken(const endless_reply& reply,
                       std::vector<std::size_t> pieces) {
  reply_reader reader({});
  endless_sender sender(reply, std::move(pieces));
  auto reached = read_state::kIncomplete;
  while (reached == read_state::kIncomplete) {
    const std::string_view piece = sender.Next();
    if (piece.empty()) break;
    reached = reader.Consume(piece);
  }
  return sender.Sent();
}

std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace

BOOST_AUTO_TEST_CASE(AReplyWithoutAnEndIsRejectedAtItsLimit) {
  for (const endless_reply& reply : EndlessReplies()) {
    // A piece that ends with the first byte of a line kept Beast from applying
    // its limit on heads.
    for (const std::vector<std::size_t>& pieces :
         {std::vector<std::size_t>{kPieceBytes},
          std::vector<std::size_t>{kPieceBytes + 1, kPieceBytes},
          std::vector<std::size_t>{1000, 1001, 1002, 1003},
          std::vector<std::size_t>{7}}) {
      BOOST_TEST(BytesTaken(reply, pieces) <= reply.max_bytes + 2 * kPieceBytes,
                 reply.name << " in pieces of " << pieces.front());
    }
  }
}

BOOST_AUTO_TEST_CASE(AHeadOfTheMaximumSizeIsAccepted) {
  std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  while (head.size() + 4 + 2 <= kMaxHeadBytes) head += "a:\r\n";
  head += "\r\n";
  for (const std::size_t piece : {head.size(), kPieceBytes + 1, 1000UL, 1UL}) {
    reply_reader reader({});
    auto reached = read_state::kIncomplete;
    for (std::size_t at = 0; at < head.size(); at += piece) {
      reached = reader.Consume(std::string_view(head).substr(at, piece));
    }
    BOOST_TEST((reached == read_state::kComplete), "in pieces of " << piece);
    BOOST_TEST(reader.Release().headers.size() > 10000U);
  }
}

// What is not counted is not limited by the budget that all replies share.
RC_BOOST_PROP(AllMemoryOfAReaderIsCounted, ()) {
  const auto& replies = EndlessReplies();
  const endless_reply& reply =
      replies.at(*rc::gen::inRange<std::size_t>(0, replies.size()));
  endless_sender sender(
      reply, *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
                 rc::gen::inRange<std::size_t>(1, kPieceBytes))));
  const std::size_t before = AllocatedBytes();
  reply_reader reader({});
  auto reached = read_state::kIncomplete;
  while (reached == read_state::kIncomplete && sender.Sent() < kTestedBytes) {
    reached = reader.Consume(sender.Next());
    RC_ASSERT(AllocatedBytes() <= before + reader.Buffered() + kUncountedBytes);
  }
}

BOOST_AUTO_TEST_CASE(ARejectedReplySaysWhy) {
  const auto fault_of = [](std::string_view bytes) {
    reply_reader reader({.echo_header = "X-Id", .echo_value = "r1"});
    BOOST_TEST((reader.Consume(bytes) == read_state::kInvalid), bytes);
    return Name(reader.Fault());
  };
  BOOST_TEST(fault_of("what is this\r\n\r\n") == "unsupported_version");
  BOOST_TEST(fault_of("HTTP/1.1 200 OK\r\n:\r\n\r\n") == "malformed");
  BOOST_TEST(fault_of("HTTP/1.1 999 OK\r\n\r\n") == "invalid_status");
  BOOST_TEST(fault_of("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n") ==
             "body_too_large");
  BOOST_TEST(fault_of("HTTP/1.1 200 OK\r\nX-Id: r2\r\n"
                      "Content-Length: 0\r\n\r\n") == "other_request");
  BOOST_TEST(fault_of("HTTP/1.1 200 OK\r\na: " +
                      std::string(kMaxHeadBytes, 'x')) == "head_too_large");
}

}  // namespace basilhoist
