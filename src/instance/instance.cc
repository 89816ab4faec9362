#include "basilhoist/instance/instance.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "basilhoist/document/document_sync.h"
#include "basilhoist/entry/caller_api.h"
#include "basilhoist/http/http_server.h"
#include "basilhoist/instance/drains.h"
#include "basilhoist/instance/instance_dump.h"
#include "basilhoist/instance/sharing.h"
#include "basilhoist/link/codec.h"
#include "basilhoist/member/member_task.h"
#include "basilhoist/member/peer_mesh.h"
#include "basilhoist/ops/log.h"
#include "basilhoist/rpc/rpc_codec.h"
#include "basilhoist/store/plain_dialect.h"

namespace basilhoist {
namespace {

constexpr microseconds kUpkeepPeriod = milliseconds(20);
constexpr microseconds kLongestLinkWait = milliseconds(5000);
constexpr std::size_t kMaxBodyBytes = 1U << 20U;

// Replies of the local owner to a remote entry.
class link_sink : public reply_sink {
 public:
  explicit link_sink(std::weak_ptr<frame_link> link) : link_(std::move(link)) {}

  void OnReplies(subreply_batch replies) override {
    if (const auto open = link_.lock()) {
      open->Send(frame_kind::kSubreplies, Encode(replies));
    }
  }

 private:
  std::weak_ptr<frame_link> link_;
};

member MakeSelf(const instance_options& options) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {.name = options.name,
          .incarnation = static_cast<std::uint64_t>(
              std::chrono::duration_cast<microseconds>(wall).count()),
          .failure_domain = options.failure_domain,
          .link = {options.address, options.link_port},
          .ops = {options.address, options.ops_port}};
}

}  // namespace

class instance::parts : public owner_channel, public rpc_handler {
 public:
  parts(event_loop& loop, instance_options options)
      : loop_(loop),
        options_(std::move(options)),
        self_(MakeSelf(options_)),
        log_(LogOf("instance")),
        sharing_(MakeSharing(options_.sharing)),
        http_(loop),
        store_(http_, {.address = Format(options_.store),
                       .dialect = MakePlainDialect(),
                       .local_address = options_.address}),
        mesh_(
            loop,
            {.self = self_, .cross_domain_delay = options_.cross_domain_delay},
            {.on_frame =
                 [this](const auto& source, frame_kind kind,
                        std::string_view bytes) {
                   OnFrame(source, kind, bytes);
                 },
             .on_peer = [this](const member& peer) { members_.OnPeer(peer); },
             .on_lost =
                 [this](const std::string& name) {
                   entry_->OnOwnerLost(name);
                   sinks_.erase(name);
                 }}),
        members_(loop, mesh_, store_, documents_, self_,
                 {.site = options_.site, .spans = options_.spans}),
        owner_(loop, http_,
               {.local_address = options_.address,
                .may_send =
                    [this](const owned_server& server) {
                      return sharing_->MaySend(members_.Owners(), server,
                                               Now());
                    }}),
        entry_(std::make_shared<entry_task>(
            loop, *this,
            entry_options{.seed = options_.seed,
                          .strategy = options_.strategy,
                          .owner_of =
                              [this](const owned_server& server) {
                                return sharing_->OwnerOf(members_.Owners(),
                                                         server);
                              }})),
        once_(loop, store_, *entry_,
              {.site = options_.site,
               .instance = options_.name,
               .incarnation = self_.incarnation}),
        api_(*entry_, once_,
             options_.name + "-" + std::to_string(self_.incarnation)),
        sync_(loop, store_, documents_, options_.site,
              [this] { return members_.IsWatcher(); }),
        rpc_(*this),
        callers_(loop,
                 {.address = options_.address,
                  .port = options_.caller_port,
                  .max_connections = options_.max_caller_connections,
                  .max_body_bytes = kMaxBodyBytes,
                  .make_error_reply = &caller_api::RefuseHttp},
                 [this](auto exchange) { api_.Handle(exchange); }),
        ops_(loop, {.address = options_.address, .port = options_.ops_port},
             [this](auto exchange) { OnOps(*exchange); }) {}

  bool Start() {
    if (!callers_.Listening() || !ops_.Listening() || !mesh_.Listening()) {
      log_->error("An address or port of {} cannot be listened on.",
                  options_.address);
      return false;
    }
    documents_.Subscribe(
        [this](const document& changed) { OnDocument(changed); });
    for (const auto& peer : options_.peers) mesh_.Know(peer);
    members_.Start();
    sync_.Start();
    loop_.Every(kUpkeepPeriod, [this] { Upkeep(); });
    log_->info("Instance {} starts in {}.", options_.name,
               options_.failure_domain);
    return true;
  }

  // Readiness ends first. Servers are handed over while the balancer's lag
  // passes, and callers' requests go on through the other instances' owners.
  void Stop() {
    if (stopping_) return;
    stopping_ = true;
    log_->info("Instance {} stops.", options_.name);
    members_.SetReady(false);
    owner_.Stop();
    quiet_at_ = Now() + options_.balancer_lag;
  }

  bool SendBatch(const std::string& owner,
                 const subrequest_batch& batch) override {
    if (owner == self_.name) {
      owner_.OnBatch(batch, entry_);
      return true;
    }
    return mesh_.Send(owner, frame_kind::kSubrequests, Encode(batch));
  }

  void SendCancels(const std::string& owner,
                   const cancel_batch& cancels) override {
    if (owner == self_.name) {
      owner_.OnCancel(cancels, entry_);
    } else {
      mesh_.Send(owner, frame_kind::kCancels, Encode(cancels));
    }
  }

  std::string Status() override { return FormatStatus(Sources()); }
  std::string Dump() override { return FormatDump(Sources()); }
  bool OfferDocument(const std::string& text) override {
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object()) return false;
    const std::string content = TextField(value, "content");
    return documents_.Offer(
        {TextField(value, "name"), ContentVersion(content), content});
  }

 private:
  [[nodiscard]] bool Ready() const {
    return !stopping_ && has_settings_ && entry_->HasIndex() &&
           members_.Owners().View().epoch > 0 && connected_ && linked_once_;
  }

  // Callers are taken only when owners can be reached. A member that cannot
  // be reached does not hold readiness back for long.
  [[nodiscard]] bool ReachesOwners() const {
    if (Now() - started_ > kLongestLinkWait) return true;
    const auto linked = mesh_.Linked();
    const auto out = members_.Owners().Out();
    const auto& all = members_.Owners().View().members;
    return std::all_of(all.begin(), all.end(), [&](const member& each) {
      return each.name == self_.name || out.contains(each.name) ||
             linked.contains(each.name);
    });
  }

  dump_sources Sources() const {
    return {.self = self_,
            .entry = *entry_,
            .owner = owner_,
            .once = once_,
            .members = members_,
            .documents = documents_,
            .store_up = sync_.StoreUp(),
            .ready = Ready(),
            .stopping = stopping_,
            .store_calls = store_.Calls()};
  }

  void OnFrame(const frame_source& source, frame_kind kind,
               std::string_view bytes) {
    switch (kind) {
      case frame_kind::kSubrequests:
        if (const auto batch = Decode<subrequest_batch>(bytes)) {
          owner_.OnBatch(*batch, SinkOf(source));
        }
        break;
      case frame_kind::kCancels:
        if (const auto cancels = Decode<cancel_batch>(bytes)) {
          owner_.OnCancel(*cancels, SinkOf(source));
        }
        break;
      case frame_kind::kSubreplies:
        if (auto replies = Decode<subreply_batch>(bytes)) {
          entry_->OnReplies(std::move(*replies));
        }
        break;
      case frame_kind::kHeartbeat:
        if (const auto beat = Decode<heartbeat>(bytes)) {
          members_.OnHeartbeat(source, *beat);
        }
        break;
      case frame_kind::kDocument:
        if (const auto arrived = Decode<document>(bytes)) {
          members_.OnDocument(*arrived);
        }
        break;
      case frame_kind::kHello:
      case frame_kind::kRelayRequest:  // Between routers only.
      case frame_kind::kRelayUpdate:
      case frame_kind::kRelayCancel:
      case frame_kind::kRelayTerms:
      case frame_kind::kRelayLimits:
      case frame_kind::kHandover:
      case frame_kind::kHandoverReply:
      case frame_kind::kHandoverCancel:
        break;
    }
  }

  // One sink for each link: cancels must find the work of their own link.
  std::shared_ptr<reply_sink> SinkOf(const frame_source& source) {
    auto& known = sinks_[source.name];
    const auto link = source.link.lock();
    if (known.sink && known.link.lock() == link) return known.sink;
    known = {source.link, std::make_shared<link_sink>(source.link)};
    return known.sink;
  }

  void OnDocument(const document& changed) {
    log_->info("Document {} is at version {}.", changed.name, changed.version);
    if (changed.name == kConfigDocument) TakeSettings(changed);
    if (changed.name == kIndexDocument) TakeIndex(changed);
    if (changed.name == kDrainsDocument) TakeDrains(changed);
    members_.OnChange(changed);
  }

  template <typename Take>
  void Guard(const document& from, Take take) {
    leaf::try_handle_all(
        [&]() -> leaf::result<void> { return take(); },
        [&](const fault_list& list) {
          for (const auto& each : list.faults) log_->error("{}", Format(each));
        },
        [&](const error_detail& detail) {
          log_->error("Document {} cannot be read: {}", from.name, detail.text);
        },
        [&] { log_->error("Document {} cannot be read.", from.name); });
  }

  void TakeSettings(const document& from) {
    Guard(from, [&]() -> leaf::result<void> {
      const auto content = nlohmann::json::parse(from.content, nullptr, false);
      const auto value = content.value("value", nlohmann::json::object());
      BOOST_LEAF_AUTO(source, ParseJsonSource(value.dump(), "accepted"));
      BOOST_LEAF_AUTO(checked, CheckSettings(source));
      settings_ = std::move(checked);
      has_settings_ = true;
      auto servers = IndexServers(settings_);
      for (auto& [name, entry] : servers) {
        entry.limits = sharing_->Share(entry.limits);
      }
      owner_.SetServers(servers);
      std::vector<owned_server> owned;
      for (const auto& [name, entry] : servers) {
        owned.push_back({name, entry.server.failure_domain});
      }
      members_.SetServers(std::move(owned));
      entry_->SetSettings(settings_);
      ApplyDrains();
      return {};
    });
  }

  void TakeIndex(const document& from) {
    Guard(from, [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(catalogue, ParseIndexCatalogue(from.content));
      entry_->SetIndex(
          std::make_shared<const index_catalogue>(std::move(catalogue)));
      return {};
    });
  }

  void TakeDrains(const document& from) {
    Guard(from, [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(list, ParseDrains(from.content));
      drains_ = std::move(list);
      ApplyDrains();
      return {};
    });
  }

  void ApplyDrains() {
    const auto barred = BarredServers(drains_, settings_);
    owner_.SetBarred(barred);
    entry_->SetBarred(barred);
  }

  void Upkeep() {
    // A link that was cut stays open for long, and a watch waits for long: only
    // what was heard lately counts. Alone in its view, it has its own lease.
    connected_ = members_.HearsAnyone() || members_.Owners().LeaseValid(Now());
    linked_once_ = linked_once_ || ReachesOwners();
    if (Ready()) {
      api_.Start();
      members_.SetReady(true);
    }
    for (const auto& server : members_.Owners().ToRelease()) {
      if (owner_.InFlight(server) == 0) members_.Release(server);
    }
    if (stopping_) ContinueStop();
  }

  void ContinueStop() {
    if (!retired_ && owner_.InFlight() == 0) {
      retired_ = true;
      members_.Retire();
      log_->info("All backend servers are handed over.");
    }
    if (Now() < quiet_at_) return;
    if (!quiesced_) {
      quiesced_ = true;
      callers_.Quiesce();
    }
    if (!retired_ || api_.InFlight() > 0) return;
    log_->info("Instance {} has stopped.", options_.name);
    loop_.Stop();
  }

  void OnOps(http_exchange& exchange) {
    const std::string& path = exchange.Path();
    if (path == "/healthz") {
      exchange.Reply({.content_type = "text/plain", .body = "ok\n"});
    } else if (path == "/readyz") {
      const bool ready = Ready();
      exchange.Reply({.status = ready ? 200 : 503,
                      .content_type = "text/plain",
                      .body = ready ? "ready\n" : "not ready\n"});
    } else if (path == "/metrics") {
      exchange.Reply({.content_type = "text/plain; version=0.0.4",
                      .body = FormatMetrics(Sources())});
    } else if (path == "/dump") {
      exchange.Reply({.body = Dump()});
    } else if (path == "/rpc" && exchange.Method() == "POST") {
      exchange.Reply({.body = rpc_.Handle(exchange.Body())});
    } else if (path == "/experiment/cut" && options_.experiments) {
      Cut(exchange);
    } else {
      exchange.Reply({.status = 404, .body = R"({"detail":"no such path"})"});
    }
  }

  void Cut(http_exchange& exchange) {
    const auto names = nlohmann::json::parse(exchange.Body(), nullptr, false);
    if (!names.is_array()) {
      exchange.Reply({.status = 400, .body = R"({"detail":"a list"})"});
      return;
    }
    mesh_.Cut(names.get<std::set<std::string>>());
    exchange.Reply({.body = "{}"});
  }

  struct remote_sink {
    std::weak_ptr<frame_link> link;
    std::shared_ptr<reply_sink> sink;
  };

  event_loop& loop_;
  instance_options options_;
  member self_;
  std::shared_ptr<spdlog::logger> log_;
  std::unique_ptr<sharing_strategy> sharing_;
  http_client http_;
  object_store store_;
  document_table documents_;
  peer_mesh mesh_;
  member_task members_;
  owner_task owner_;
  std::shared_ptr<entry_task> entry_;
  once_task once_;
  caller_api api_;
  document_sync sync_;
  rpc_server rpc_;
  http_server callers_;
  http_server ops_;
  site_settings settings_;
  drain_list drains_;
  std::map<std::string, remote_sink> sinks_;
  bool has_settings_ = false;
  bool connected_ = false;
  bool linked_once_ = false;
  instant started_ = Now();
  bool stopping_ = false;
  bool retired_ = false;
  bool quiesced_ = false;
  instant quiet_at_;
};

instance::instance(event_loop& loop, instance_options options)
    : parts_(std::make_unique<parts>(loop, std::move(options))) {}

instance::~instance() = default;

bool instance::Start() { return parts_->Start(); }

void instance::Stop() { parts_->Stop(); }

}  // namespace basilhoist
