// What instances hand each other: whole, or what has changed since.
#include "basilhoist/knowledge/snapshot_text.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace basilhoist {
namespace {

object_snapshot Made(const std::map<std::string, int>& contents,
                     std::uint64_t revision) {
  object_snapshot made{.revision = revision};
  for (const auto& [name, content] : contents) {
    made.objects[name] = {
        .name = name, .revision = revision, .content = content};
  }
  return made;
}

}  // namespace

// A store's history, of which the reader has seen the first part.
RC_BOOST_PROP(TheReaderHasTheWholeSnapshotInTheEnd, ()) {
  const auto writes = *rc::gen::container<std::vector<int>>(
      *rc::gen::inRange(0, 30), rc::gen::inRange(0, 12));
  const auto seen = *rc::gen::inRange<std::size_t>(0, writes.size() + 1);
  object_snapshot now;
  object_snapshot base;
  for (std::size_t i = 0; i < writes.size(); ++i) {
    if (i == seen) base = now;
    const std::string name(1, static_cast<char>('a' + writes[i] % 6));
    ++now.revision;
    if (writes[i] < 9) {
      now.objects[name] = {
          .name = name, .revision = now.revision, .content = writes[i]};
    } else {
      now.objects.erase(name);
    }
  }
  const auto read = ParseSnapshot(FormatSnapshot(now, base.revision), base);
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->revision == now.revision);
  RC_ASSERT(read->objects == now.objects);
}

BOOST_AUTO_TEST_CASE(OnlyChangesAreHandedOver) {
  object_snapshot now = Made({{"a", 1}, {"b", 1}}, 5);
  const object_snapshot base = now;
  now.revision = 6;
  now.objects["b"] = {.name = "b", .revision = 6, .content = 2};
  const std::string text = FormatSnapshot(now, base.revision);
  BOOST_TEST(text.find("\"content\":1") == std::string::npos);
  BOOST_TEST(text.find("\"content\":2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ABaseThatLacksAnObjectIsNoBase) {
  const object_snapshot now = Made({{"a", 1}}, 5);
  BOOST_TEST(!ParseSnapshot(FormatSnapshot(now, 5), {}).has_value());
  BOOST_TEST(ParseSnapshot(FormatSnapshot(now, 0), {}).has_value());
}

BOOST_AUTO_TEST_CASE(WhatCannotBeReadIsNoSnapshot) {
  for (const char* text : {"", "{", "[]", "{}", R"({"revision":1})",
                           R"({"revision":1,"objects":[1],"unchanged":[]})"}) {
    BOOST_TEST(!ParseSnapshot(text, {}).has_value());
  }
}

}  // namespace basilhoist
