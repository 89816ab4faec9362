#include "reply_head.h"

#include <strings.h>

#include <array>
#include <boost/beast/http/status.hpp>
#include <ctime>
#include <string_view>

#include "basilhoist/http/field_syntax.h"
#include "basilhoist/http/http_server.h"
#include "basilhoist/http/status.h"

namespace basilhoist {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// Bytes of a header field besides its name and value: ": " and CRLF.
constexpr std::size_t kFieldOverhead = 4;
// Upper bound of the status line and the fields that the server adds to each
// reply, in bytes.
constexpr std::size_t kOwnReplyLines = 512;
// Fields that describe the message or the connection.
constexpr std::array<const char*, 4> kOwnFields = {
    "Connection", "Content-Length", "Transfer-Encoding", "Date"};

bool IsOwnField(const std::string& name) {
  for (const char* own : kOwnFields) {
    if (strcasecmp(own, name.c_str()) == 0) return true;
  }
  return false;
}

// The text changes once a second.
const std::string& DateText() {
  static std::time_t made_at = -1;
  static std::string text;
  const std::time_t now = std::time(nullptr);
  if (now == made_at) return text;
  made_at = now;
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 40> buffer{};
  const std::size_t size = std::strftime(buffer.data(), buffer.size(),
                                         "%a, %d %b %Y %H:%M:%S GMT", &parts);
  text.assign(buffer.data(), size);
  return text;
}

void AddField(std::string& head, std::string_view name,
              std::string_view value) {
  head += name;
  head += ": ";
  head += value;
  head += "\r\n";
}

}  // namespace

std::size_t MaxHeadBytes(const http_reply& reply) {
  std::size_t bytes = kOwnReplyLines + reply.content_type.size();
  for (const http_header& header : reply.headers) {
    bytes += header.name.size() + header.value.size() + kFieldOverhead;
  }
  return bytes;
}

bool CanBeSent(const http_reply& reply) {
  return IsFinalStatus(reply.status) &&
         MaxHeadBytes(reply) <= http_server::kMaxReplyHeadBytes;
}

bool MayHaveBody(int status) {
  return status != kNoContent && status != kNotModified;
}

std::string ReplyHead(const http_reply& reply, const reply_context& context) {
  std::string head;
  head.reserve(MaxHeadBytes(reply));
  head += "HTTP/1.1 " + std::to_string(reply.status) + " ";
  head += boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(reply.status));
  head += "\r\n";
  AddField(head, "Date", DateText());
  if (!context.keeps_connection) {
    AddField(head, "Connection", "close");
  } else if (context.is_http_1_0) {
    AddField(head, "Connection", "Keep-Alive");
  }
  if (!reply.content_type.empty()) {
    AddField(head, "Content-Type", reply.content_type);
  }
  for (const http_header& header : reply.headers) {
    const bool valid = IsToken(header.name) && IsFieldValue(header.value);
    if (valid && !IsOwnField(header.name)) {
      AddField(head, header.name, header.value);
    }
  }
  if (MayHaveBody(reply.status)) {
    AddField(head, "Content-Length", std::to_string(reply.body.size()));
  }
  head += "\r\n";
  return head;
}

}  // namespace basilhoist
