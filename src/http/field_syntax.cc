#include "basilhoist/http/field_syntax.h"

#include <algorithm>

namespace basilhoist {
namespace {

bool IsAlphanumeric(char each) {
  return (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z') ||
         (each >= '0' && each <= '9');
}

bool IsControl(char each) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto code = static_cast<unsigned char>(each);
  return code < kFirstPrintable || code == kDelete;
}

}  // namespace

bool IsToken(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char each) {
    return IsAlphanumeric(each) || kMarks.find(each) != std::string_view::npos;
  });
}

bool IsFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char each) {
    return IsControl(each) && each != '\t';
  });
}

bool IsTarget(std::string_view text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](char each) {
    return IsControl(each) || each == ' ';
  });
}

}  // namespace basilhoist
