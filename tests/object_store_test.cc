// Outcomes of calls to the store, the plain dialect, and the simulated store.
#include "basilhoist/store/object_store.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "basilhoist/http/http_server.h"
#include "basilhoist/store/plain_dialect.h"
#include "free_port.h"
#include "platform_store.h"

namespace {

using basilhoist::call_outcome;
using basilhoist::event_loop;
using basilhoist::http_client;
using basilhoist::http_server;
using basilhoist::object;
using basilhoist::object_store;
using basilhoist::standin::platform_store;

// A store that gives the same answer to every call.
class fixed_answer_store {
 public:
  fixed_answer_store(int status, const std::string& body)
      : server_(loop_, {.address = "127.0.0.1", .port = port_},
                [status, body](const auto& exchange) {
                  exchange->Reply({.status = status, .body = body});
                }) {
    BOOST_REQUIRE(server_.Listening());
  }

  call_outcome Write() { return WriteTo(port_); }

  call_outcome WriteTo(std::uint16_t port) {
    http_client http(loop_);
    object_store store(http, {.address = "127.0.0.1:" + std::to_string(port),
                              .dialect = basilhoist::MakePlainDialect()});
    call_outcome result = call_outcome::kOk;
    store.Create("kind", {.name = "one", .content = "text"},
                 [&](call_outcome outcome, const object&) {
                   result = outcome;
                   loop_.Stop();
                 });
    loop_.Run();
    return result;
  }

 private:
  event_loop loop_;
  std::uint16_t port_ = basilhoist::test::FreePort();
  http_server server_;
};

call_outcome WriteAnswered(int status, const std::string& body) {
  return fixed_answer_store(status, body).Write();
}

}  // namespace

BOOST_AUTO_TEST_CASE(StatusCodesMapToOutcomes) {
  const std::string written =
      basilhoist::EncodePlainObject({.name = "one", .revision = 3}).dump();
  BOOST_TEST((WriteAnswered(200, written) == call_outcome::kOk));
  BOOST_TEST((WriteAnswered(201, written) == call_outcome::kOk));
  BOOST_TEST((WriteAnswered(404, "{}") == call_outcome::kMissing));
  BOOST_TEST((WriteAnswered(409, "{}") == call_outcome::kConflict));
  BOOST_TEST((WriteAnswered(410, "{}") == call_outcome::kHistoryGone));
  BOOST_TEST((WriteAnswered(429, "{}") == call_outcome::kNotDone));
  BOOST_TEST((WriteAnswered(503, "{}") == call_outcome::kNotDone));
  BOOST_TEST((WriteAnswered(500, "{}") == call_outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(OutcomeOfAWriteIsUnknownIfTheBodyIsMalformed) {
  for (const char* body : {"", "{", "[]", "{}", R"({"name":7})"}) {
    BOOST_TEST((WriteAnswered(200, body) == call_outcome::kUnknown));
  }
}

BOOST_AUTO_TEST_CASE(RefusedConnectionMeansNotDone) {
  fixed_answer_store store(200, "{}");
  BOOST_TEST(
      (store.WriteTo(basilhoist::test::FreePort()) == call_outcome::kNotDone));
}

BOOST_AUTO_TEST_CASE(PlainDialectRoundTrips) {
  const bool passed = rc::check([](const std::string& name,
                                   const std::string& text,
                                   std::uint64_t revision) {
    // Names and texts in the store are ASCII.
    const auto ascii = [](std::string value) {
      for (char& each : value) each = static_cast<char>(each & 0x7f);
      return value;
    };
    const object value{
        .name = ascii(name), .revision = revision, .content = ascii(text)};
    const auto dialect = basilhoist::MakePlainDialect();
    RC_ASSERT(dialect->DecodeObject(dialect->EncodeObject(value)) == value);
    const auto page = dialect->DecodePage(
        basilhoist::EncodePlainPage({.objects = {value}, .has_more = true})
            .dump());
    RC_ASSERT(page && page->has_more && page->objects.front() == value);
    const auto events = dialect->DecodeEvents(
        basilhoist::EncodePlainEvents(
            {.events = {{.changed = value, .deleted = true}}, .revision = 9})
            .dump());
    RC_ASSERT(events && events->revision == 9);
    RC_ASSERT(events->events.front().changed == value);
    RC_ASSERT(events->events.front().deleted);
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(SimulatedStoreChecksWriteConditions) {
  platform_store store;
  const auto created = store.Put("kind", {.name = "one", .content = "a"});
  BOOST_TEST((created.outcome == call_outcome::kOk));
  const auto again = store.Put("kind", {.name = "one", .content = "b"});
  BOOST_TEST((again.outcome == call_outcome::kConflict));
  BOOST_TEST(store.Get("kind", "one").Text() == "a");
  BOOST_TEST(store.ChangedSince("kind", 0).size() == 1U);
  BOOST_TEST(store.ChangedSince("kind", created.value.revision).empty());
  BOOST_TEST((store.Remove("kind", "one", created.value.revision + 1).outcome ==
              call_outcome::kConflict));
  BOOST_TEST((store.Remove("kind", "one", created.value.revision).outcome ==
              call_outcome::kOk));
  BOOST_TEST((store.Remove("kind", "one", created.value.revision).outcome ==
              call_outcome::kMissing));
}
