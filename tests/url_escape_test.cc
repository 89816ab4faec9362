// Guards against names that change the URL that they are part of.
#include "basilhoist/http/url_escape.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "basilhoist/store/plain_dialect.h"
#include "platform/object_wire.h"

namespace basilhoist {
namespace {

std::string Unescape(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      bytes += text[i];
      continue;
    }
    bytes += static_cast<char>(
        std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
    i += 2;
  }
  return bytes;
}

bool IsUnreserved(std::string_view text) {
  return text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
             "-._~%") == std::string_view::npos;
}

RC_BOOST_PROP(UnescapingReturnsTheSameBytes, (const std::string& bytes)) {
  const std::string escaped = EscapeForUrl(bytes);
  RC_ASSERT(IsUnreserved(escaped));
  RC_ASSERT(Unescape(escaped) == bytes);
}

RC_BOOST_PROP(NamesKeepToTheirPlaceInTargets, (const std::string& name)) {
  for (const auto& dialect : {platform::MakeObjectWire(), MakePlainDialect()}) {
    const std::string kind = dialect->KindTarget("k");
    const std::string path = dialect->ObjectTarget("k", name);
    RC_ASSERT(path.starts_with(kind + "/"));
    RC_ASSERT(Unescape(path.substr(kind.size() + 1)) == name);
    RC_ASSERT(IsUnreserved(path.substr(kind.size() + 1)));
    const std::string removal = dialect->RemoveTarget("k", name, 7);
    RC_ASSERT(removal == path + "?revision=7");
    if (name.empty()) continue;
    const std::string page = dialect->ListTarget("k", {.after = name});
    RC_ASSERT(page.starts_with(kind + "?after="));
    RC_ASSERT(Unescape(page.substr(kind.size() + 7)) == name);
    RC_ASSERT(IsUnreserved(page.substr(kind.size() + 7)));
  }
}

BOOST_AUTO_TEST_CASE(PlainNamesStayAsTheyAre) {
  BOOST_TEST(EscapeForUrl("one-5_a.b~") == "one-5_a.b~");
  BOOST_TEST(EscapeForUrl("") == "");
}

}  // namespace
}  // namespace basilhoist
