// Persists reports of requests that crash servers in the store, so that an
// instance has them after a restart.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "basilhoist/link/messages.h"
#include "basilhoist/loop/event_loop.h"
#include "basilhoist/store/object_store.h"

namespace basilhoist {

/// Writes and reads objects of one kind, one for each suspect request.
class suspect_archive {
 public:
  using handler = std::function<void(const std::vector<suspect_report>&)>;

  /// Delay before a failed call is retried.
  static constexpr milliseconds kRetryDelay{1500};

  /// @param kind the kind of the stored objects
  /// @param max_age reports older than this are ignored, and a failed write is
  ///   retried for no longer than this; far older objects are removed
  /// @param on_read called with the reports read from the store
  suspect_archive(event_loop& loop, object_store& store, std::string kind,
                  milliseconds max_age, handler on_read)
      : loop_(loop),
        store_(store),
        kind_(std::move(kind)),
        max_age_(max_age),
        on_read_(std::move(on_read)) {}

  /// Reads the reports written by other instances or by earlier incarnations of
  /// this one.
  /// @param may_be_stale accepts stale pages, which cost the store less
  void Read(bool may_be_stale) { ReadPage({}, may_be_stale); }

  /// Writes a report, replacing an earlier one of the same request.
  void Write(const suspect_report& report);

 private:
  enum class write_method : std::uint8_t { kCreate, kReplace };

  void ReadPage(const std::string& after, bool may_be_stale);
  void ProcessPage(const object_page& page);
  void Put(const object& value, write_method method, instant deadline);

  event_loop& loop_;
  object_store& store_;
  std::string kind_;
  milliseconds max_age_;
  handler on_read_;
};

/// @param now_ms the current time, in milliseconds since 1970
/// @return the report as an object's content, with the time at which a
///   crash was last attributed to the request
nlohmann::json EncodeSuspect(const suspect_report& report, std::int64_t now_ms);

/// @param now_ms the current time, in milliseconds since 1970
/// @return the report, or nothing if the content is malformed
std::optional<suspect_report> DecodeSuspect(const nlohmann::json& content,
                                            std::int64_t now_ms);

}  // namespace basilhoist
