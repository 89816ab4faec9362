#include "basilhoist/http/field_syntax.h"

#include <algorithm>

namespace basilhoist {
namespace {

bool IsAlphanumeric(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9');
}

bool IsControl(char character) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto code = static_cast<unsigned char>(character);
  return code < kFirstPrintable || code == kDelete;
}

}  // namespace

bool IsToken(std::string_view text) {
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [&](char character) {
           return IsAlphanumeric(character) ||
                  kTokenSymbols.find(character) != std::string_view::npos;
         });
}

bool IsFieldValue(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char character) {
    return IsControl(character) && character != '\t';
  });
}

bool IsTarget(std::string_view text) {
  return !text.empty() &&
         std::none_of(text.begin(), text.end(), [](char character) {
           return IsControl(character) || character == ' ';
         });
}

}  // namespace basilhoist
