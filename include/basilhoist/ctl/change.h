// Changes that operators make, settled through the platform's store.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "basilhoist/store/object_store.h"

namespace basilhoist {

/// What became of a change.
enum class change_outcome : std::uint8_t {
  kAccepted,  ///< It has taken effect in the store.
  kOutrun,    ///< Another change came first; nothing was written.
  kRefused,   ///< The change itself is not possible; nothing was written.
  kFailed,    ///< The store could not be reached; nothing was written.
  kNotKnown,  ///< It may have taken effect; ask again with the same id.
};

/// @return the outcome's name, e.g. "accepted"
std::string_view Name(change_outcome outcome);

/// How a change ended.
struct change_result {
  change_outcome outcome = change_outcome::kFailed;
  std::uint64_t version = 0;  ///< Of the document, when accepted or outrun.
  std::string detail;
  std::string content;  ///< Of the document, when accepted.
};

/// A document's next content, or why there can be none.
struct next_content {
  bool possible = true;
  std::string content;  ///< Holds the version and the operation id.
  std::string detail;   ///< Why it is not possible.
};

/// One change of one document.
struct document_change {
  std::string kind;          ///< Of the document in the store.
  std::string name;          ///< Of the document, e.g. "drains".
  std::string operation_id;  ///< Tells this change from all others.
  /// Version that the operator saw; 0 for whatever is newest.
  std::uint64_t based_on = 0;
  /// Highest version that any instance holds: the store may have come back
  /// with older content.
  std::uint64_t known_version = 0;
  /// Whether the change may be made again on top of another's.
  bool mergeable = false;
  /// Makes the next content from the present one (empty at first).
  std::function<next_content(const std::string& present,
                             std::uint64_t next_version)>
      make;
};

/// Makes a change and finds out what became of it, even if answers are lost.
class change_task {
 public:
  using callback = std::function<void(const change_result&)>;

  change_task(event_loop& loop, object_store& store, document_change change,
              callback done);

  void Start();

 private:
  void Read();
  void OnRead(call_outcome outcome, const object& present);
  void Write(const object& present);
  void OnWrite(call_outcome outcome, std::uint64_t version);
  void ReadBack(std::uint64_t version);
  void Finish(change_outcome outcome, std::uint64_t version,
              const std::string& detail);

  event_loop& loop_;
  object_store& store_;
  document_change change_;
  callback done_;
  std::string written_;  // what the latest write held
  int tries_ = 0;
  std::uint64_t expected_revision_ = 0;
};

/// @return the operation id that a document's content states
std::string ContentOperation(const std::string& content);

}  // namespace basilhoist
