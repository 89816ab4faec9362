// The header fields of a request in little memory.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/http/http_exchange.h"

namespace basilhoist {

/// Keeps all names and values in one text. A string for each would need 64
/// bytes for a field that a caller sends in four.
class header_block {
 public:
  void Add(std::string_view name, std::string_view value);

  /// @return the value of the first field of this name, in any case; empty if
  ///   there is none
  [[nodiscard]] std::string_view Find(std::string_view name) const;

  /// @return the number of fields of this name
  [[nodiscard]] std::size_t Count(std::string_view name) const;

  /// @return all fields, in the order in which they were added
  [[nodiscard]] std::vector<http_header> All() const;

  /// @return the memory of the fields
  [[nodiscard]] std::size_t Bytes() const {
    return text_.capacity() + ends_.capacity() * sizeof(field_end);
  }

 private:
  // Ends of a field in the text; it starts where the one before it ends.
  struct field_end {
    std::uint32_t name = 0;
    std::uint32_t value = 0;
  };
  struct field_view {
    std::string_view name;
    std::string_view value;
  };

  [[nodiscard]] field_view At(std::size_t index) const;

  std::string text_;
  std::vector<field_end> ends_;
};

}  // namespace basilhoist
