// Bytes of a caller as the reader of requests gets them, without a connection:
// never a crash, the same request, or none, however the bytes were cut, and no
// request above the limits.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "basilhoist/http/request_reader.h"

using namespace basilhoist;

namespace {

constexpr message_limits kLimits{.max_head_bytes = 512, .max_body_bytes = 64};

void Require(bool holds) {
  if (!holds) std::abort();
}

bool HasEnded(request_progress progress) {
  return progress == request_progress::kComplete ||
         progress == request_progress::kInvalid;
}

struct outcome {
  bool complete = false;
  received_request request;
  bool keeps_connection = false;
};

outcome Read(std::string_view bytes, std::size_t piece) {
  request_reader reader(kLimits);
  std::string unused;
  while (!bytes.empty() && !HasEnded(reader.Progress())) {
    unused += bytes.substr(0, piece);
    bytes.remove_prefix(std::min(piece, bytes.size()));
    std::size_t used = 0;
    do {
      used = reader.Consume(unused);
      Require(used <= unused.size());
      unused.erase(0, used);
    } while (used > 0 && !unused.empty() && !HasEnded(reader.Progress()));
  }
  outcome result{.complete = reader.Progress() == request_progress::kComplete};
  if (reader.Progress() == request_progress::kInvalid) {
    Require(reader.Status() >= 400 && reader.Status() <= 505);
  }
  if (!result.complete) return result;
  result.keeps_connection = reader.KeepsConnection();
  result.request = reader.Release();
  Require(result.request.head_bytes <= kLimits.max_head_bytes);
  Require(result.request.body.size() <= kLimits.max_body_bytes);
  return result;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) return 0;
  const std::size_t piece = 1 + data[0] % 40U;
  const std::string_view bytes(reinterpret_cast<const char*>(data + 1),
                               size - 1);
  const outcome whole = Read(bytes, bytes.size() + 1);
  const outcome pieces = Read(bytes, piece);
  Require(whole.complete == pieces.complete);
  Require(whole.keeps_connection == pieces.keeps_connection);
  Require(whole.request.method == pieces.request.method);
  Require(whole.request.target == pieces.request.target);
  Require(whole.request.head_bytes == pieces.request.head_bytes);
  Require(whole.request.body == pieces.request.body);
  return 0;
}
