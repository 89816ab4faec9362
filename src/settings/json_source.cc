#include "basilhoist/settings/json_source.h"

#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

namespace basilhoist {
namespace {

using nlohmann::json;

// Counts lines as the parser consumes characters. A key is reported as soon
// as its closing quote is read, so the count then is the key's own line.
class line_iterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  line_iterator(const char* at, int* line) : at_(at), line_(line) {}
  reference operator*() const { return *at_; }
  line_iterator& operator++() {
    if (*at_ == '\n') ++*line_;
    ++at_;
    return *this;
  }
  line_iterator operator++(int) {
    line_iterator before = *this;
    ++*this;
    return before;
  }
  bool operator==(const line_iterator& other) const { return at_ == other.at_; }
  bool operator!=(const line_iterator& other) const { return at_ != other.at_; }

 private:
  const char* at_;
  int* line_;
};

std::string EscapePointer(const std::string& key) {
  std::string result;
  for (const char c : key) {
    if (c == '~') {
      result += "~0";
    } else if (c == '/') {
      result += "~1";
    } else {
      result += c;
    }
  }
  return result;
}

// Builds the value from parser events and notes positions on the way.
class position_handler : public nlohmann::json_sax<json> {
 public:
  position_handler(std::string file, const int* line)
      : file_(std::move(file)), line_(line) {}

  bool null() override { return Add(json()); }
  bool boolean(bool v) override { return Add(json(v)); }
  bool number_integer(number_integer_t v) override { return Add(json(v)); }
  bool number_unsigned(number_unsigned_t v) override { return Add(json(v)); }
  bool number_float(number_float_t v, const string_t&) override {
    return Add(json(v));
  }
  bool string(string_t& v) override { return Add(json(v)); }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override {
    return Push(json(json::value_t::object));
  }
  bool start_array(std::size_t) override {
    return Push(json(json::value_t::array));
  }
  bool end_object() override { return Pop(); }
  bool end_array() override { return Pop(); }

  bool key(string_t& name) override {
    frame& top = frames_.back();
    if (!top.keys.insert(name).second) {
      AddFault(top.pointer + "/" + EscapePointer(name),
               "this key is given twice; keep one");
    }
    top.next_key = name;
    key_line_ = *line_;
    return true;
  }

  bool parse_error(std::size_t, const std::string& token,
                   const nlohmann::detail::exception& error) override {
    const std::string text = error.what();
    const auto colon = text.rfind(": ");
    AddFault(frames_.empty() ? "/" : frames_.back().pointer + "/",
             "near '" + token + "': " +
                 (colon == std::string::npos ? text : text.substr(colon + 2)));
    return false;
  }

  json_source result;
  std::vector<fault> faults;

 private:
  struct frame {
    json value;
    std::string pointer;
    std::string next_key;
    std::set<std::string> keys;
  };

  void AddFault(const std::string& key, const std::string& message) {
    faults.push_back({file_, *line_, key, message});
  }

  std::string NextPointer() const {
    if (frames_.empty()) return "";
    const frame& top = frames_.back();
    const std::string step = top.value.is_array()
                                 ? std::to_string(top.value.size())
                                 : EscapePointer(top.next_key);
    return top.pointer + "/" + step;
  }

  void Note(const std::string& pointer) {
    const bool keyed = !frames_.empty() && frames_.back().value.is_object();
    result.positions[pointer] = {file_, keyed ? key_line_ : *line_};
  }

  void Insert(json value) {
    if (frames_.empty()) {
      result.value = std::move(value);
    } else if (frames_.back().value.is_array()) {
      frames_.back().value.push_back(std::move(value));
    } else {
      frames_.back().value[frames_.back().next_key] = std::move(value);
    }
  }

  bool Add(json value) {
    Note(NextPointer());
    Insert(std::move(value));
    return true;
  }

  bool Push(json empty) {
    const std::string pointer = NextPointer();
    Note(pointer);
    frames_.push_back({std::move(empty), pointer, "", {}});
    return true;
  }

  bool Pop() {
    json done = std::move(frames_.back().value);
    frames_.pop_back();
    Insert(std::move(done));
    return true;
  }

  std::string file_;
  const int* line_;
  int key_line_ = 1;
  std::vector<frame> frames_;
};

void ErasePositions(std::map<std::string, source_position>& positions,
                    const std::string& pointer) {
  std::erase_if(positions, [&](const auto& entry) {
    return entry.first == pointer || entry.first.starts_with(pointer + "/");
  });
}

void CopyPositions(std::map<std::string, source_position>& into,
                   const json_source& from, const std::string& pointer) {
  for (const auto& [key, position] : from.positions) {
    if (key == pointer || key.starts_with(pointer + "/")) into[key] = position;
  }
}

void Merge(json& base, const json& overlay, const std::string& pointer,
           json_source& into, const json_source& from) {
  for (const auto& [key, value] : overlay.items()) {
    const std::string child = pointer + "/" + EscapePointer(key);
    if (value.is_object() && base.contains(key) && base[key].is_object()) {
      Merge(base[key], value, child, into, from);
      continue;
    }
    ErasePositions(into.positions, child);
    if (value.is_null()) {
      base.erase(key);
      continue;
    }
    base[key] = value;
    CopyPositions(into.positions, from, child);
  }
}

}  // namespace

leaf::result<json_source> ParseJsonSource(const std::string& text,
                                          const std::string& file) {
  int line = 1;
  position_handler handler(file, &line);
  const char* first = text.data();
  const bool parsed = json::sax_parse(
      line_iterator(first, &line), line_iterator(first + text.size(), &line),
      &handler, json::input_format_t::json, true, true);
  if (parsed && !handler.result.value.is_object()) {
    handler.faults.push_back({file, 1, "/", "the file must hold one object"});
  }
  if (!handler.faults.empty()) {
    return leaf::new_error(error_code::kSyntax, fault_list{handler.faults});
  }
  return std::move(handler.result);
}

leaf::result<json_source> ReadJsonSource(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    const fault missing{path, 0, "/", "the file cannot be read"};
    return leaf::new_error(error_code::kFileUnreadable, fault_list{{missing}});
  }
  return ParseJsonSource(text.str(), path);
}

json_source MergeJsonSources(json_source base, const json_source& overlay) {
  json value = std::move(base.value);
  Merge(value, overlay.value, "", base, overlay);
  base.value = std::move(value);
  return base;
}

source_position FindPosition(const json_source& source, std::string pointer) {
  while (true) {
    const auto found = source.positions.find(pointer);
    if (found != source.positions.end()) return found->second;
    const auto slash = pointer.rfind('/');
    if (slash == std::string::npos) return {};
    pointer.resize(slash);
  }
}

}  // namespace basilhoist
