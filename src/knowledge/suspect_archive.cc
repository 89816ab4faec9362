#include "basilhoist/knowledge/suspect_archive.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <limits>
#include <utility>

#include "basilhoist/ops/event_line.h"

namespace basilhoist {
namespace {

// Objects are removed only once their age is this multiple of the maximum age
// of a report, so that a clock that is off by minutes removes no valid report.
constexpr int kRemovalAgeFactor = 30;

std::int64_t TimeOfDayMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Integers of 64 bits are written as strings, because some JSON parsers read
// numbers as doubles.
std::string Hex(std::uint64_t value) {
  char text[16];
  const auto end = std::to_chars(text, text + sizeof text, value, 16);
  return {text, end.ptr};
}

std::uint64_t ParseHex(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value, 16);
  if (read.ec != std::errc() || read.ptr != end) {
    throw std::invalid_argument("not a hexadecimal number");
  }
  return value;
}

}  // namespace

nlohmann::json EncodeSuspect(const suspect_report& report,
                             std::int64_t now_ms) {
  nlohmann::json services = nlohmann::json::array();
  for (const suspect_service& each : report.services) {
    nlohmann::json incarnations = nlohmann::json::array();
    for (const std::uint64_t incarnation : each.servers)
      incarnations.push_back(Hex(incarnation));
    services.push_back({{"service", Hex(each.service)},
                        {"answered", each.answered},
                        {"ended_runs", std::move(incarnations)}});
  }
  return {{"fingerprint", Hex(report.fingerprint)},
          {"answered", report.answered},
          {"blamed_at_ms", now_ms - static_cast<std::int64_t>(report.idle_ms)},
          {"services", std::move(services)}};
}

std::optional<suspect_report> DecodeSuspect(const nlohmann::json& content,
                                            std::int64_t now_ms) {
  try {
    const std::int64_t age = std::clamp<std::int64_t>(
        now_ms - content.at("blamed_at_ms").get<std::int64_t>(), 0,
        std::numeric_limits<std::uint32_t>::max());
    suspect_report report{
        .fingerprint = ParseHex(content.at("fingerprint").get<std::string>()),
        .answered = content.at("answered").get<bool>(),
        .idle_ms = static_cast<std::uint32_t>(age)};
    for (const nlohmann::json& each : content.at("services")) {
      suspect_service service{
          .service = ParseHex(each.at("service").get<std::string>()),
          .answered = each.at("answered").get<bool>()};
      for (const nlohmann::json& incarnation : each.at("ended_runs")) {
        service.servers.push_back(ParseHex(incarnation.get<std::string>()));
      }
      report.services.push_back(std::move(service));
    }
    return report;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

void suspect_archive::ReadPage(const std::string& after, bool may_be_stale) {
  store_.List(
      kind_, {.after = after, .may_be_stale = may_be_stale},
      [this, after, may_be_stale](call_outcome outcome,
                                  const object_page& page) {
        if (outcome != call_outcome::kOk) {
          event_line("suspects", "read_failed").With("outcome", Name(outcome));
          loop_.After(kRetryDelay, [this, after, may_be_stale] {
            ReadPage(after, may_be_stale);
          });
          return;
        }
        ProcessPage(page);
        if (page.has_more && !page.objects.empty()) {
          ReadPage(page.objects.back().name, may_be_stale);
        }
      });
}

void suspect_archive::ProcessPage(const object_page& page) {
  const std::int64_t now_ms = TimeOfDayMs();
  std::vector<suspect_report> reports;
  for (const object& each : page.objects) {
    const auto report = DecodeSuspect(each.content.Json(), now_ms);
    if (!report) {
      event_line("suspects", "entry_unreadable").With("name", each.name);
      continue;
    }
    const milliseconds age(report->idle_ms);
    if (age < max_age_) {
      reports.push_back(*report);
    } else if (age > kRemovalAgeFactor * max_age_) {
      store_.Remove(kind_, each.name, each.revision,
                    [name = each.name](call_outcome outcome, const object&) {
                      event_line("suspects", "entry_removed")
                          .With("name", name)
                          .With("outcome", Name(outcome));
                    });
    }
  }
  if (reports.empty()) return;
  event_line("suspects", "taken_from_store").With("count", reports.size());
  on_read_(reports);
}

void suspect_archive::Write(const suspect_report& report) {
  Put({.name = "request-" + Hex(report.fingerprint),
       .content = EncodeSuspect(report, TimeOfDayMs())},
      write_method::kCreate, Now() + max_age_);
}

void suspect_archive::Put(const object& value, write_method method,
                          instant deadline) {
  const auto done = [this, value, method, deadline](call_outcome outcome,
                                                    const object&) {
    if (outcome == call_outcome::kOk) return;
    if (outcome == call_outcome::kConflict && method == write_method::kCreate) {
      Put(value, write_method::kReplace, deadline);
      return;
    }
    event_line("suspects", "write_failed")
        .With("name", value.name)
        .With("outcome", Name(outcome));
    if (Now() >= deadline) return;
    loop_.After(kRetryDelay, [this, value, deadline] {
      Put(value, write_method::kCreate, deadline);
    });
  };
  if (method == write_method::kReplace) {
    store_.Replace(kind_, value, done);
  } else {
    store_.Create(kind_, value, done);
  }
}

}  // namespace basilhoist
