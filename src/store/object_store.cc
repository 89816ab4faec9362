#include "basilhoist/store/object_store.h"

#include <xxhash.h>

#include <charconv>
#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Added to the wait time of a watch for its timeout. The store answers within
// milliseconds after the wait time runs out.
constexpr milliseconds kWatchMargin{2000};
constexpr int kHttpOk = 200;
constexpr int kHttpCreated = 201;
constexpr int kHttpMissing = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;
// Length to which a header of the store is cut in a log line.
constexpr std::size_t kMaxLoggedHeader = 32;

call_outcome OutcomeOf(http_result& result) {
  if (!result.HasReply()) {
    return result.Sent() ? call_outcome::kUnknown : call_outcome::kNotDone;
  }
  switch (result.Status()) {
    case kHttpOk:
    case kHttpCreated:
      return call_outcome::kOk;
    case kHttpMissing:
      return call_outcome::kMissing;
    case kHttpConflict:
      return call_outcome::kConflict;
    case kHttpGone:
      return call_outcome::kHistoryGone;
    case kHttpTooManyRequests:
    case kHttpUnavailable:
      return call_outcome::kNotDone;
    default:
      return call_outcome::kUnknown;
  }
}

}  // namespace

std::string_view Name(call_outcome value) {
  switch (value) {
    case call_outcome::kOk:
      return "ok";
    case call_outcome::kMissing:
      return "missing";
    case call_outcome::kConflict:
      return "conflict";
    case call_outcome::kHistoryGone:
      return "history_gone";
    case call_outcome::kNotDone:
      return "not_done";
    case call_outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string TextField(const object_content& content, const char* key) {
  const nlohmann::json& value = content.Json();
  if (!value.is_object()) return {};
  const auto found = value.find(key);
  if (found == value.end() || !found->is_string()) return {};
  return found->get<std::string>();
}

std::uint64_t object_snapshot::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [name, stored] : objects) {
    digest = XXH64(name.data(), name.size(), digest);
    const std::string& content = stored.content.JsonText();
    digest = XXH64(content.data(), content.size(), digest);
  }
  return digest;
}

object_store::object_store(http_client& http, object_store_options options)
    : http_(http), options_(std::move(options)) {}

template <typename Value>
std::uint64_t object_store::Call(
    http_call call,
    std::optional<Value> (object_dialect::*decode)(std::string_view) const,
    callback<Value> done) {
  ++calls_;
  call.url = "http://" + options_.address + call.url;
  call.local_address = options_.local_address;
  if (!call.body.empty()) {
    call.headers.emplace_back("Content-Type: application/json");
  }
  return http_.Start(std::move(call), [this, decode, done = std::move(done)](
                                          http_result& result) {
    call_outcome outcome = OutcomeOf(result);
    std::optional<Value> value;
    // What the store said before it came back from a copy is not true any more.
    if (result.HasReply() && !IsOfPresentEra(result)) {
      outcome = call_outcome::kUnknown;
    }
    if (outcome == call_outcome::kOk) {
      value = (options_.dialect.get()->*decode)(result.Body());
      // Without a valid body it is not known what the
      // store holds.
      if (!value) outcome = call_outcome::kUnknown;
      if constexpr (requires { value->era; }) {
        if (value) value->era = era_;
      }
    }
    done(outcome, value.value_or(Value{}));
  });
}

bool object_store::IsOfPresentEra(const http_result& result) {
  const std::string header = options_.dialect->EraHeader();
  if (header.empty()) return true;
  const std::string text = result.Header(header.c_str());
  if (text.empty()) return true;
  std::uint64_t era = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, era);
  if (read.ec != std::errc() || read.ptr != end) {
    event_line("store", "era_unreadable")
        .With("stated", text.substr(0, kMaxLoggedHeader));
    return true;
  }
  if (era < era_) {
    event_line("store", "answer_of_older_era")
        .With("era", era)
        .With("present", era_);
    return false;
  }
  if (era > era_) {
    const std::uint64_t before = std::exchange(era_, era);
    on_era_change_(before, era);
  }
  return true;
}

std::uint64_t object_store::List(const std::string& kind,
                                 const page_request& page,
                                 callback<object_page> done) {
  return Call({.url = options_.dialect->ListTarget(kind, page),
               .timeout = options_.call_timeout},
              &object_dialect::DecodePage, std::move(done));
}

std::uint64_t object_store::Watch(const std::string& kind,
                                  std::uint64_t revision, milliseconds wait,
                                  callback<object_events> done) {
  return Call({.url = options_.dialect->WatchTarget(kind, revision, wait),
               .timeout = wait + kWatchMargin},
              &object_dialect::DecodeEvents, std::move(done));
}

void object_store::Get(const std::string& kind, const std::string& name,
                       callback<object> done) {
  Call({.url = options_.dialect->ObjectTarget(kind, name),
        .timeout = options_.call_timeout},
       &object_dialect::DecodeObject, std::move(done));
}

void object_store::Create(const std::string& kind, const object& value,
                          callback<object> done) {
  Call({.method = "POST",
        .url = options_.dialect->KindTarget(kind),
        .body = options_.dialect->EncodeObject(value),
        .timeout = options_.call_timeout},
       &object_dialect::DecodeObject, std::move(done));
}

void object_store::Replace(const std::string& kind, const object& value,
                           callback<object> done) {
  Call({.method = "PUT",
        .url = options_.dialect->ObjectTarget(kind, value.name),
        .body = options_.dialect->EncodeObject(value),
        .timeout = options_.call_timeout},
       &object_dialect::DecodeObject, std::move(done));
}

void object_store::ReplaceStatus(const std::string& kind, const object& value,
                                 callback<object> done) {
  Call({.method = "PUT",
        .url = options_.dialect->StatusTarget(kind, value.name),
        .body = options_.dialect->EncodeStatus(value),
        .timeout = options_.call_timeout},
       &object_dialect::DecodeObject, std::move(done));
}

void object_store::Put(const std::string& kind, const object& value,
                       callback<object> done) {
  if (value.revision == 0) {
    Create(kind, value, std::move(done));
  } else {
    Replace(kind, value, std::move(done));
  }
}

void object_store::Remove(const std::string& kind, const std::string& name,
                          std::uint64_t revision, callback<object> done) {
  Call({.method = "DELETE",
        .url = options_.dialect->RemoveTarget(kind, name, revision),
        .timeout = options_.call_timeout},
       &object_dialect::DecodeObject, std::move(done));
}

}  // namespace basilhoist
