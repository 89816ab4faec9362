// The content of an object in the store.
#pragma once

#include <concepts>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <type_traits>
#include <utility>

namespace basilhoist {

/// Immutable JSON that copies share. Its fields are decoded by the code that
/// knows the object's kind.
class object_content {
 public:
  object_content();

  template <typename source>
  requires(!std::same_as<std::remove_cvref_t<source>, object_content> &&
           std::convertible_to<source, nlohmann::json>)
      // The constraint leaves copies and moves to their constructors.
      // NOLINTNEXTLINE(google-explicit-constructor,bugprone-forwarding-reference-overload)
      object_content(source&& value)
      : object_content(nlohmann::json(std::forward<source>(value)), adopt()) {}

  [[nodiscard]] const nlohmann::json& Json() const;

  /// @return the content as JSON text, which is formatted once only
  [[nodiscard]] const std::string& JsonText() const;

  /// @return whether both are copies of the same content; equal contents may
  ///   still be read separately
  [[nodiscard]] bool IsSame(const object_content& other) const {
    return shared_ == other.shared_;
  }

  friend bool operator==(const object_content& left,
                         const object_content& right) {
    return left.IsSame(right) || left.Json() == right.Json();
  }
  friend std::ostream& operator<<(std::ostream& out,
                                  const object_content& value) {
    return out << value.JsonText();
  }

 private:
  struct adopt {};
  struct state;

  object_content(nlohmann::json value, adopt);

  std::shared_ptr<state> shared_;
};

}  // namespace basilhoist
