// The operators' endpoint that explains requests.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilhoist/explain/request_explainer.h"
#include "basilhoist/http/http_exchange.h"
#include "basilhoist/knowledge/object_feed.h"

namespace basilhoist {

/// How old the objects of one kind are that this instance holds.
struct feed_age {
  std::string kind;
  std::uint64_t era = 0;
  std::uint64_t revision = 0;
  bool known = false;
  bool follows_store = false;
  bool store_answers = false;
  /// Since the store confirmed them here; nothing if it never did.
  std::optional<microseconds> confirmed;
  /// Since they came from a peer; nothing if they never did.
  std::optional<microseconds> adopted;

  bool operator==(const feed_age&) const = default;
};

std::vector<feed_age> FeedAges(
    const std::vector<std::unique_ptr<object_feed>>& feeds, instant now);

/// @param exchange a POST whose body describes the request
/// @return the explanation, or status 400 with the field that is at fault
http_reply AnswerExplain(const http_exchange& exchange,
                         const request_explainer& explainer,
                         const std::vector<feed_age>& feeds);

}  // namespace basilhoist
