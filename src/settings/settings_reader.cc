#include "settings_reader.h"

#include <algorithm>

namespace basilhoist::internal {
namespace {

const nlohmann::json kEmptyObject = nlohmann::json::object();

// The unit is the end of a key's name. A key with a known stem and another
// unit is the commonest slip, so it is named.
std::string WithoutUnit(const std::string& key) {
  for (const char* unit : {"_ms", "_s", "_us", "_percent", "_ratio"}) {
    if (key.ends_with(unit)) {
      return key.substr(0, key.size() - std::string(unit).size());
    }
  }
  return key;
}

std::string Join(const std::set<std::string>& names) {
  std::string result;
  for (const auto& name : names) {
    result += (result.empty() ? "" : ", ") + name;
  }
  return result;
}

}  // namespace

settings_reader settings_reader::Child(const std::string& key) const {
  settings_reader child = *this;
  child.value_ = &value_->at(key);
  child.pointer_ = pointer_ + "/" + key;
  return child;
}

void settings_reader::Fault(const std::string& key,
                            const std::string& message) const {
  const std::string pointer = key.empty() ? pointer_ : pointer_ + "/" + key;
  const source_position at = FindPosition(source_, pointer);
  faults_.push_back(
      {at.file, at.line, pointer.substr(pointer.empty() ? 0 : 1), message});
}

void settings_reader::OnlyKeys(const std::set<std::string>& known) const {
  if (!value_->is_object()) return;
  for (const auto& [key, value] : value_->items()) {
    if (known.contains(key)) continue;
    const auto same_stem = std::find_if(
        known.begin(), known.end(), [&key = key](const std::string& name) {
          return WithoutUnit(name) == WithoutUnit(key);
        });
    if (same_stem != known.end()) {
      Fault(key, "wrong unit; the key is " + *same_stem);
    } else {
      Fault(key, "unknown key; known here are: " + Join(known));
    }
  }
}

settings_reader settings_reader::Object(const std::string& key) const {
  if (value_->is_object() && value_->contains(key) &&
      value_->at(key).is_object()) {
    return Child(key);
  }
  Fault(key, "an object is needed here");
  settings_reader child = *this;
  child.value_ = &kEmptyObject;
  child.pointer_ = pointer_ + "/" + key;
  return child;
}

std::string settings_reader::Text(const std::string& key) const {
  if (value_->is_object() && value_->contains(key) &&
      value_->at(key).is_string() &&
      !value_->at(key).get_ref<const std::string&>().empty()) {
    return value_->at(key).get<std::string>();
  }
  Fault(key, "a text that is not empty is needed here");
  return {};
}

std::vector<std::string> settings_reader::Texts(const std::string& key) const {
  std::vector<std::string> result;
  if (!value_->contains(key) || !value_->at(key).is_array() ||
      value_->at(key).empty()) {
    Fault(key, "a list of texts is needed here");
    return result;
  }
  for (const auto& item : value_->at(key)) {
    if (item.is_string()) {
      result.push_back(item.get<std::string>());
    } else {
      Fault(key, "each item of this list must be a text");
    }
  }
  return result;
}

std::uint32_t settings_reader::Whole(const std::string& key,
                                     std::uint32_t fallback,
                                     std::uint32_t least,
                                     std::uint32_t most) const {
  if (!value_->contains(key)) return fallback;
  const auto& given = value_->at(key);
  if (given.is_number_unsigned() && given.get<std::uint64_t>() >= least &&
      given.get<std::uint64_t>() <= most) {
    return given.get<std::uint32_t>();
  }
  Fault(key, "a whole number from " + std::to_string(least) + " to " +
                 std::to_string(most) + " is needed here");
  return fallback;
}

milliseconds settings_reader::Span(const std::string& key,
                                   milliseconds fallback,
                                   std::uint32_t most) const {
  const auto count = static_cast<std::uint32_t>(fallback.count());
  return milliseconds(Whole(key, count, 1, most));
}

double settings_reader::Percent(const std::string& key, double fallback) const {
  if (!value_->contains(key)) return fallback;
  const auto& given = value_->at(key);
  if (given.is_number() && given.get<double>() >= 0 &&
      given.get<double>() <= 100) {
    return given.get<double>() / 100.0;
  }
  Fault(key, "a percentage from 0 to 100 is needed here");
  return fallback;
}

}  // namespace basilhoist::internal
