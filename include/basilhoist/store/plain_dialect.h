// The spelling of store calls where no platform gives one of its own.
#pragma once

#include <memory>

#include "basilhoist/store/object.h"

namespace basilhoist {

/// @return the dialect of the product's own programs and stand-ins
std::shared_ptr<const object_dialect> MakePlainDialect();

/// @return an object as the plain dialect spells it
nlohmann::json EncodePlainObject(const object& value);

/// @return a page of a listing as the plain dialect spells it
nlohmann::json EncodePlainPage(const object_page& value);

/// @return what a watch reports as the plain dialect spells it
nlohmann::json EncodePlainEvents(const object_events& value);

/// Reads an object from the plain dialect.
/// @throws nlohmann::json::exception if a part is missing
object DecodePlainObject(const nlohmann::json& value);

}  // namespace basilhoist
