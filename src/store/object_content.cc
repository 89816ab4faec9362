#include "basilhoist/store/object_content.h"

namespace basilhoist {

struct object_content::state {
  nlohmann::json value;
  std::string text;  // empty until it is needed
};

object_content::object_content() : object_content(nlohmann::json(), adopt()) {}

object_content::object_content(nlohmann::json value, adopt)
    : shared_(std::make_shared<state>(state{.value = std::move(value)})) {}

const nlohmann::json& object_content::Json() const { return shared_->value; }

const std::string& object_content::JsonText() const {
  if (shared_->text.empty()) shared_->text = shared_->value.dump();
  return shared_->text;
}

}  // namespace basilhoist
