// Tests the syntax checks that decide which callers' methods, targets and
// header fields a router forwards to backend servers.
#include "basilhoist/http/field_syntax.h"

#include <boost/test/unit_test.hpp>

namespace basilhoist {

// Guards against a fault found by fuzzing callers' bytes: a header field name
// with a byte above 127 was forwarded.
BOOST_AUTO_TEST_CASE(AcceptsOnlyTokensAsNames) {
  BOOST_TEST(IsToken("X-Request_Id.1"));
  for (const char* name :
       {"", "Transfer-E\xa4-coding", "a b", "a:", "a\t", "a\r\nb", "(a)"}) {
    BOOST_TEST(!IsToken(name));
  }
}

BOOST_AUTO_TEST_CASE(RejectsControlCharactersInValues) {
  BOOST_TEST(IsFieldValue(""));
  BOOST_TEST(IsFieldValue("a\tb c\xc3\xa4"));
  for (const char* value : {"a\rb", "a\nb", "a\r\n b", "\x01", "\x7f"}) {
    BOOST_TEST(!IsFieldValue(value));
  }
  BOOST_TEST(!IsFieldValue(std::string_view("a\0b", 3)));
}

BOOST_AUTO_TEST_CASE(RejectsSpacesAndControlCharactersInTargets) {
  BOOST_TEST(IsTarget("/a%20b?c=\xc3\xa4"));
  for (const char* target : {"", "/a b", "/a\r\n", "/a\t"}) {
    BOOST_TEST(!IsTarget(target));
  }
}

}  // namespace basilhoist
