// basilhoist-standin-platform: plays the platform's object API in tests.
#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>
#include <set>

#include "basilhoist/http/http_server.h"
#include "basilhoist/ops/log.h"
#include "platform_store.h"

namespace {

using basilhoist::http_exchange;
using basilhoist::http_reply;
using basilhoist::milliseconds;
using basilhoist::store_outcome;
using basilhoist::store_reply;
using basilhoist::stored_object;
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
    std::string prefix;
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
    const std::string& path = exchange->Path();
    constexpr std::string_view kObjects = "/v1/objects/";
    if (path.starts_with(kObjects)) {
      ServeObject(exchange, path.substr(kObjects.size()));
    } else if (path == "/v1/watch") {
      ServeWatch(exchange);
    } else if (path == "/v1/instances") {
      exchange->Reply({.body = json{{"instances", instances_}}.dump()});
    } else {
      exchange->Reply({.status = 404, .body = "{}"});
    }
  }

  static std::uint64_t Number(const exchange_ptr& exchange, const char* name) {
    return std::strtoull(exchange->Argument(name).c_str(), nullptr, 10);
  }

  static json ToJson(const std::vector<stored_object>& objects) {
    json list = json::array();
    for (const auto& each : objects) {
      list.push_back({{"key", each.key},
                      {"revision", each.revision},
                      {"content", each.content}});
    }
    return list;
  }

  void ServeObject(const exchange_ptr& exchange, const std::string& key) {
    if (exchange->Method() == "GET") {
      ++reads_;
      const stored_object object = store_.Get(key);
      const int status = object.revision == 0 ? 404 : 200;
      exchange->Reply({.status = status,
                       .body = json{{"revision", object.revision},
                                    {"objects", ToJson({object})}}
                                   .dump()});
      return;
    }
    ++writes_;
    const std::uint64_t expected = Number(exchange, "if_revision");
    const store_reply reply = exchange->Method() == "PUT"
                                  ? store_.Put(key, expected, exchange->Body())
                                  : store_.Remove(key, expected);
    if (lose_answers_ > 0) {
      --lose_answers_;
      Hold(exchange);
    } else {
      ReplyWrite(exchange, reply);
    }
    Notify();
  }

  static void ReplyWrite(const exchange_ptr& exchange,
                         const store_reply& reply) {
    int status = 200;
    if (reply.outcome == store_outcome::kConflict) status = 409;
    if (reply.outcome == store_outcome::kMissing) status = 404;
    exchange->Reply(
        {.status = status, .body = json{{"revision", reply.revision}}.dump()});
  }

  void ServeWatch(const exchange_ptr& exchange) {
    ++watches_;
    const waiting_watch watch{exchange, exchange->Argument("prefix"),
                              Number(exchange, "after")};
    if (watch.after == 0 || Answer(watch)) {
      if (watch.after == 0)
        ReplyWatch(watch, store_.ChangedSince(watch.prefix, 0));
      return;
    }
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
                  const std::vector<stored_object>& changed) {
    exchange_ptr exchange = watch.exchange;
    exchange->Reply({.body = json{{"revision", store_.Revision()},
                                  {"objects", ToJson(changed)}}
                                 .dump()});
  }

  bool Answer(const waiting_watch& watch) {
    const auto changed = store_.ChangedSince(watch.prefix, watch.after);
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
