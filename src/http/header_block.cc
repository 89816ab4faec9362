#include "basilhoist/http/header_block.h"

#include <strings.h>

namespace basilhoist {
namespace {

bool SameName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

void header_block::Add(std::string_view name, std::string_view value) {
  text_ += name;
  const auto name_end = static_cast<std::uint32_t>(text_.size());
  text_ += value;
  ends_.push_back(
      {.name = name_end, .value = static_cast<std::uint32_t>(text_.size())});
}

std::string_view header_block::Find(std::string_view name) const {
  for (std::size_t i = 0; i < ends_.size(); ++i) {
    const field_view field = At(i);
    if (SameName(field.name, name)) return field.value;
  }
  return {};
}

std::size_t header_block::Count(std::string_view name) const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < ends_.size(); ++i) {
    if (SameName(At(i).name, name)) ++count;
  }
  return count;
}

std::vector<http_header> header_block::All() const {
  std::vector<http_header> all;
  all.reserve(ends_.size());
  for (std::size_t i = 0; i < ends_.size(); ++i) {
    const field_view field = At(i);
    all.push_back(
        {.name = std::string(field.name), .value = std::string(field.value)});
  }
  return all;
}

header_block::field_view header_block::At(std::size_t index) const {
  const std::size_t start = index == 0 ? 0 : ends_[index - 1].value;
  const field_end& end = ends_[index];
  const std::string_view text = text_;
  return {.name = text.substr(start, end.name - start),
          .value = text.substr(end.name, end.value - end.name)};
}

}  // namespace basilhoist
