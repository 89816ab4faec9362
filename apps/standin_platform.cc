// basilhoist-standin-platform: plays the platform's object API in tests.
#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>
#include <set>

#include "basilhoist/http/http_server.h"
#include "basilhoist/ops/log.h"
#include "basilhoist/store/plain_dialect.h"
#include "platform_store.h"

namespace {

using basilhoist::call_outcome;
using basilhoist::EncodePlainEvents;
using basilhoist::EncodePlainObject;
using basilhoist::EncodePlainPage;
using basilhoist::http_exchange;
using basilhoist::http_reply;
using basilhoist::milliseconds;
using basilhoist::object;
using basilhoist::object_events;
using basilhoist::object_page;
using basilhoist::ReadStoreBody;
using basilhoist::standin::write_result;
using nlohmann::json;
using exchange_ptr = std::shared_ptr<http_exchange>;

constexpr const char* kUsage = R"(Plays the platform's object API in tests.

Usage:
  basilhoist-standin-platform --address=IP --port=PORT
  basilhoist-standin-platform (-h | --help)

Faults are set by POST /control with any of: down, refuse (booleans),
slow_ms, lose_answers (numbers), cut (list of callers' IP numbers),
instances (list), save, restore (booleans).
)";

// A call that gets no answer is held for so long, then closed.
constexpr milliseconds kHoldTime{4000};

constexpr std::string_view kObjectsPath = "/v1/objects/";
constexpr std::string_view kWatchPath = "/v1/watch/";
// The kind that lists what POST /control names as instances.
constexpr std::string_view kInstances = "instances";

class platform {
 public:
  platform(basilhoist::event_loop& loop, const std::string& address,
           std::uint16_t port)
      : loop_(loop),
        server_(loop, {.address = address, .port = port},
                [this](auto exchange) { OnRequest(exchange); }) {}

  bool Listening() const { return server_.Listening(); }

 private:
  struct waiting_watch {
    exchange_ptr exchange;
    std::string kind;
    std::uint64_t after = 0;
  };

  void OnRequest(const exchange_ptr& exchange) {
    if (exchange->Path() == "/control") {
      OnControl(*exchange);
      return;
    }
    ++calls_;
    if (down_ || cut_.contains(exchange->PeerAddress())) {
      Hold(exchange);
      return;
    }
    if (refuse_) {
      exchange->Reply({.status = 503, .body = "{}"});
      return;
    }
    loop_.After(slow_, [this, exchange] { Serve(exchange); });
  }

  void Hold(const exchange_ptr& exchange) {
    loop_.After(kHoldTime,
                [exchange] { exchange->Reply({.status = 500, .body = "{}"}); });
  }

  void Serve(const exchange_ptr& exchange) {
    const std::string_view path = exchange->Path();
    if (path.starts_with(kWatchPath)) {
      ServeWatch(exchange, std::string(path.substr(kWatchPath.size())));
      return;
    }
    if (!path.starts_with(kObjectsPath)) {
      exchange->Reply({.status = 404, .body = "{}"});
      return;
    }
    const std::string_view rest = path.substr(kObjectsPath.size());
    const std::size_t slash = rest.find('/');
    const std::string kind(rest.substr(0, slash));
    if (slash != std::string_view::npos) {
      ServeObject(exchange, kind, std::string(rest.substr(slash + 1)));
    } else if (exchange->Method() == "POST") {
      ServeWrite(exchange, kind, {});
    } else {
      ServeList(exchange, kind);
    }
  }

  static std::uint64_t Number(const exchange_ptr& exchange, const char* name) {
    return std::strtoull(exchange->Argument(name).c_str(), nullptr, 10);
  }

  void ServeList(const exchange_ptr& exchange, const std::string& kind) {
    ++reads_;
    object_page page{.revision = store_.Revision()};
    page.objects =
        kind == kInstances ? Instances() : store_.ChangedSince(kind, 0);
    exchange->Reply({.body = EncodePlainPage(page).dump()});
  }

  std::vector<object> Instances() const {
    std::vector<object> list;
    for (const json& each : instances_) {
      list.push_back(
          {.name = each.value("name", ""), .revision = 1, .content = each});
    }
    return list;
  }

  void ServeObject(const exchange_ptr& exchange, const std::string& kind,
                   const std::string& name) {
    if (exchange->Method() != "GET") {
      ServeWrite(exchange, kind, name);
      return;
    }
    ++reads_;
    const object found = store_.Get(kind, name);
    exchange->Reply({.status = found.revision == 0 ? 404 : 200,
                     .body = EncodePlainObject(found).dump()});
  }

  // A name in the path is the object's; one that is created names itself.
  void ServeWrite(const exchange_ptr& exchange, const std::string& kind,
                  const std::string& name) {
    ++writes_;
    write_result written;
    if (exchange->Method() == "DELETE") {
      written = store_.Remove(kind, name, Number(exchange, "revision"));
    } else {
      auto value = ReadStoreBody<object>(exchange->Body(),
                                         basilhoist::DecodePlainObject);
      if (!value) {
        exchange->Reply({.status = 400, .body = "{}"});
        return;
      }
      if (!name.empty()) value->name = name;
      written = store_.Put(kind, *value);
    }
    if (lose_answers_ > 0) {
      --lose_answers_;
      Hold(exchange);
    } else {
      ReplyWrite(exchange, written);
    }
    Notify();
  }

  static void ReplyWrite(const exchange_ptr& exchange,
                         const write_result& written) {
    int status = 200;
    if (written.outcome == call_outcome::kConflict) status = 409;
    if (written.outcome == call_outcome::kMissing) status = 404;
    exchange->Reply(
        {.status = status, .body = EncodePlainObject(written.value).dump()});
  }

  void ServeWatch(const exchange_ptr& exchange, const std::string& kind) {
    ++watches_;
    const waiting_watch watch{exchange, kind, Number(exchange, "after")};
    if (Answer(watch)) return;
    watching_.push_back(watch);
    loop_.After(milliseconds(Number(exchange, "wait_ms")), [this, exchange] {
      for (auto it = watching_.begin(); it != watching_.end(); ++it) {
        if (it->exchange != exchange) continue;
        ReplyWatch(*it, {});
        watching_.erase(it);
        return;
      }
    });
  }

  void ReplyWatch(const waiting_watch& watch,
                  const std::vector<object>& changed) {
    object_events seen{.revision = store_.Revision()};
    for (const object& each : changed) seen.events.push_back({.changed = each});
    watch.exchange->Reply({.body = EncodePlainEvents(seen).dump()});
  }

  bool Answer(const waiting_watch& watch) {
    const auto changed = store_.ChangedSince(watch.kind, watch.after);
    if (changed.empty()) return false;
    ReplyWatch(watch, changed);
    return true;
  }

  void Notify() {
    if (down_ || refuse_) return;
    std::erase_if(watching_, [this](const waiting_watch& each) {
      if (cut_.contains(each.exchange->PeerAddress())) return false;
      return Answer(each);
    });
  }

  void OnControl(http_exchange& exchange) {
    if (exchange.Method() == "POST") {
      const json set = json::parse(exchange.Body(), nullptr, false);
      if (!set.is_object()) {
        exchange.Reply({.status = 400, .body = "{}"});
        return;
      }
      Apply(set);
    }
    exchange.Reply({.body = json{{"calls", calls_},
                                 {"reads", reads_},
                                 {"writes", writes_},
                                 {"watches", watches_},
                                 {"revision", store_.Revision()}}
                                .dump()});
  }

  void Apply(const json& set) {
    down_ = set.value("down", down_);
    refuse_ = set.value("refuse", refuse_);
    slow_ = milliseconds(set.value("slow_ms", slow_.count()));
    lose_answers_ = set.value("lose_answers", lose_answers_);
    if (set.contains("cut")) cut_ = set["cut"].get<std::set<std::string>>();
    if (set.contains("instances")) instances_ = set["instances"];
    if (set.value("save", false)) store_.Save();
    if (set.value("restore", false)) store_.Restore();
    // A watch that began before an outage ends with it.
    if (down_ || refuse_) watching_.clear();
  }

  basilhoist::event_loop& loop_;
  basilhoist::standin::platform_store store_;
  std::list<waiting_watch> watching_;
  json instances_ = json::array();
  std::set<std::string> cut_;
  bool down_ = false;
  bool refuse_ = false;
  milliseconds slow_{2};
  int lose_answers_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t watches_ = 0;
  basilhoist::http_server server_;
};

}  // namespace

int main(int argc, char** argv) {
  const auto given =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "platform");
  basilhoist::SetUpLogs({.process = "platform"});
  basilhoist::event_loop loop;
  platform standin(loop, given.at("--address").asString(),
                   static_cast<std::uint16_t>(given.at("--port").asLong()));
  if (!standin.Listening()) {
    std::cerr << "the address cannot be listened on\n";
    return EXIT_FAILURE;
  }
  loop.OnTerminate([&loop] { loop.Stop(); });
  loop.Run();
  return EXIT_SUCCESS;
}
