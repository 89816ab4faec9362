// The default encoding of store calls, for programs that are not bound to a
// platform.
#pragma once

#include <memory>

#include "basilhoist/store/object.h"

namespace basilhoist {

/// @return the dialect that this project's own programs and its simulated
///   services use
std::shared_ptr<const object_dialect> MakePlainDialect();

/// @return an object, encoded in the plain dialect
nlohmann::json EncodePlainObject(const object& value);

/// @return a page of a listing, encoded in the plain dialect
nlohmann::json EncodePlainPage(const object_page& value);

/// @return the result of a watch, encoded in the plain dialect
nlohmann::json EncodePlainEvents(const object_events& value);

/// Decodes an object from the plain dialect.
/// @throws nlohmann::json::exception if a field is missing or has a wrong type
object DecodePlainObject(const nlohmann::json& value);

}  // namespace basilhoist
