// Reads typed values out of a source and collects faults.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "basilhoist/base/clock.h"
#include "basilhoist/settings/json_source.h"

namespace basilhoist::internal {

/// A place in the source, with the list that faults are added to.
class settings_reader {
 public:
  settings_reader(const json_source& source, std::vector<fault>& faults)
      : source_(source), value_(&source.value), faults_(faults) {}

  [[nodiscard]] const nlohmann::json& Value() const { return *value_; }
  [[nodiscard]] const std::string& Pointer() const { return pointer_; }

  /// @return the reader of a child that exists
  [[nodiscard]] settings_reader Child(const std::string& key) const;

  /// Adds a fault about a key of this object.
  void Fault(const std::string& key, const std::string& message) const;

  /// Adds a fault for each key that is not known.
  void OnlyKeys(const std::set<std::string>& known) const;

  /// @return the child object, or an empty one with a fault
  [[nodiscard]] settings_reader Object(const std::string& key) const;

  /// @return the text, or empty with a fault
  [[nodiscard]] std::string Text(const std::string& key) const;

  /// @return a list of texts, or empty with a fault
  [[nodiscard]] std::vector<std::string> Texts(const std::string& key) const;

  /// @return a whole number within bounds, or `fallback` where absent
  [[nodiscard]] std::uint32_t Whole(const std::string& key,
                                    std::uint32_t fallback, std::uint32_t least,
                                    std::uint32_t most) const;

  /// @return a span given in whole milliseconds
  [[nodiscard]] milliseconds Span(const std::string& key, milliseconds fallback,
                                  std::uint32_t most) const;

  /// @return a share given in percent, 0 to 100
  [[nodiscard]] double Percent(const std::string& key, double fallback) const;

 private:
  const json_source& source_;
  const nlohmann::json* value_;
  std::string pointer_;
  std::vector<fault>& faults_;
};

}  // namespace basilhoist::internal
