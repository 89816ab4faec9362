#include "basilhoist/http/request_reader.h"

#include <strings.h>

#include <utility>

#include "basilhoist/http/message_parser.h"

namespace basilhoist {
namespace {

constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;

bool IsChunked(std::string_view encoding) {
  constexpr std::string_view kChunked = "chunked";
  return encoding.size() == kChunked.size() &&
         strncasecmp(encoding.data(), kChunked.data(), kChunked.size()) == 0;
}

int StatusOf(message_fault fault) {
  switch (fault) {
    case message_fault::kNone:
      return 0;
    case message_fault::kHeadTooLarge:
      return kHeadTooLarge;
    case message_fault::kBodyTooLarge:
      return kBodyTooLarge;
    case message_fault::kUnsupportedEncoding:
      return kNotImplemented;
    case message_fault::kUnsupportedVersion:
      return kVersionNotSupported;
    default:
      return kBadRequest;
  }
}

}  // namespace

class request_reader::parser : public message_parser<true, received_request> {
 public:
  explicit parser(message_limits limits) : message_parser(limits) {}

 private:
  void on_request_impl(boost::beast::http::verb, string_view method,
                       string_view target, int version, error_code&) override {
    constexpr int kVersion10 = 10;
    Message().method = method;
    Message().target = target;
    Message().is_http_1_0 = version == kVersion10;
  }

  void on_response_impl(int, string_view, int, error_code&) override {}

  // Whatever is between this server and a backend server must agree on where
  // the request ends, so only one plain statement of the length is accepted.
  [[nodiscard]] message_fault CheckHead() const override {
    const received_request& request = Message();
    const header_block& headers = request.headers;
    const std::size_t lengths = headers.Count("Content-Length");
    const std::size_t encodings = headers.Count("Transfer-Encoding");
    const bool unclear_length =
        lengths + encodings > 1 || (encodings == 1 && request.is_http_1_0) ||
        headers.Find("Content-Length").find(',') != std::string_view::npos;
    const bool unclear_host =
        headers.Count("Host") != 1 && !request.is_http_1_0;
    if (unclear_length || unclear_host) return message_fault::kMalformed;
    if (encodings == 1 && !IsChunked(headers.Find("Transfer-Encoding"))) {
      return message_fault::kUnsupportedEncoding;
    }
    return message_fault::kNone;
  }
};

request_reader::request_reader(message_limits limits)
    : parser_(std::make_unique<parser>(limits)) {}

request_reader::~request_reader() = default;

std::size_t request_reader::Consume(std::string_view bytes) {
  return parser_->Consume(bytes);
}

request_progress request_reader::Progress() const {
  if (parser_->Fault() != message_fault::kNone) {
    return request_progress::kInvalid;
  }
  if (!parser_->is_header_done()) return request_progress::kHead;
  return parser_->is_done() ? request_progress::kComplete
                            : request_progress::kBody;
}

int request_reader::Status() const { return StatusOf(parser_->Fault()); }

void request_reader::SetMaxBodyBytes(std::size_t bytes) {
  parser_->SetMaxBodyBytes(bytes);
}

const received_request& request_reader::Request() const {
  return parser_->Message();
}

received_request request_reader::Release() {
  return std::move(parser_->Message());
}

bool request_reader::KeepsConnection() const { return parser_->keep_alive(); }

std::size_t request_reader::StatedBytesLeft() const {
  if (!parser_->is_header_done()) return 0;
  return static_cast<std::size_t>(
      parser_->content_length_remaining().value_or(0));
}

std::size_t request_reader::HeadBytes() const {
  const received_request& request = parser_->Message();
  return request.method.capacity() + request.target.capacity() +
         request.headers.Bytes();
}

std::size_t request_reader::BodyBytes() const {
  return parser_->Message().body.capacity();
}

}  // namespace basilhoist
