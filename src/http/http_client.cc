#include "basilhoist/http/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <unordered_map>
#include <utility>

namespace basilhoist {
namespace {

constexpr long kMaxIdleConnections = 4096;
constexpr std::size_t kMaxPooledHandles = 512;
// A connection may go silent without a reset. Probes after a second of quiet
// show it within about three, without a timeout on calls that wait.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;
constexpr int kUnacknowledgedMs = 3000;

struct transfer : http_result {
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  std::uint64_t id = 0;
  http_call call;
  http_callback done;
  std::string body;
  CURLcode code = CURLE_OK;
  bool sent = false;

  bool Answered() const override { return code == CURLE_OK; }
  bool Sent() const override { return sent; }
  bool Refused() const override { return code == CURLE_COULDNT_CONNECT; }
  bool TimedOut() const override { return code == CURLE_OPERATION_TIMEDOUT; }
  std::string& Body() override { return body; }

  int Status() const override {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
  }

  std::string Header(const char* name) const override {
    curl_header* found = nullptr;
    const auto got = curl_easy_header(easy, name, 0, CURLH_HEADER, -1, &found);
    return got == CURLHE_OK ? std::string(found->value) : std::string();
  }
};

size_t OnBody(char* data, size_t size, size_t count, void* into) {
  auto& made = *static_cast<transfer*>(into);
  if (made.body.size() + size * count > made.call.most_reply_bytes) return 0;
  made.body.append(data, size * count);
  return size * count;
}

int OnSocketMade(void*, curl_socket_t fd, curlsocktype) {
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeIdleSeconds,
             sizeof kProbeIdleSeconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalSeconds,
             sizeof kProbeIntervalSeconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof kProbeCount);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs,
             sizeof kUnacknowledgedMs);
  return CURL_SOCKOPT_OK;
}

// Runs when the connection stands. A second time for one transfer means that
// libcurl is about to send it again, since a reused connection was found dead
// after the request had gone out: the first copy may have run.
int OnBeforeSend(void* self, char*, char*, int, int) {
  auto* current = static_cast<transfer*>(self);
  if (current->sent) return CURL_PREREQFUNC_ABORT;
  if (current->call.may_send && !current->call.may_send()) {
    return CURL_PREREQFUNC_ABORT;
  }
  current->sent = true;
  return CURL_PREREQFUNC_OK;
}

}  // namespace

struct http_client::state {
  event_loop& loop;
  CURLM* multi = nullptr;
  timer_id timeout = 0;
  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<transfer>> transfers;
  std::unordered_map<curl_socket_t, std::unique_ptr<fd_watch>> watches;
  std::vector<CURL*> pool;

  explicit state(event_loop& the_loop) : loop(the_loop) {}

  CURL* TakeHandle() {
    if (pool.empty()) return curl_easy_init();
    CURL* easy = pool.back();
    pool.pop_back();
    return easy;
  }

  void Release(transfer& current) {
    curl_multi_remove_handle(multi, current.easy);
    curl_slist_free_all(current.headers);
    if (pool.size() < kMaxPooledHandles) {
      curl_easy_reset(current.easy);
      pool.push_back(current.easy);
    } else {
      curl_easy_cleanup(current.easy);
    }
  }

  void Act(curl_socket_t fd, int events) {
    int running = 0;
    curl_multi_socket_action(multi, fd, events, &running);
    Collect();
  }

  void Collect() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      std::uint64_t id = 0;
      char* tag = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &tag);
      id = reinterpret_cast<transfer*>(tag)->id;
      Finish(id, message->data.result);
    }
  }

  void Finish(std::uint64_t id, CURLcode code) {
    auto found = transfers.find(id);
    if (found == transfers.end()) return;
    auto current = std::move(found->second);
    transfers.erase(found);
    current->code = code;
    current->done(*current);
    Release(*current);
  }

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*) {
    auto& watches = static_cast<state*>(self)->watches;
    if (what == CURL_POLL_REMOVE) {
      // The watch is kept for the next use of this number: connections stay
      // open and are taken up again with each transfer.
      const auto known = watches.find(fd);
      if (known != watches.end()) known->second->Set(-1, false, false);
      return 0;
    }
    auto& watch = watches[fd];
    if (!watch) {
      auto* owner = static_cast<state*>(self);
      watch = std::make_unique<fd_watch>(
          owner->loop, [owner, fd](bool readable, bool writable) {
            owner->Act(fd, (readable ? CURL_CSELECT_IN : 0) |
                               (writable ? CURL_CSELECT_OUT : 0));
          });
    }
    watch->Set(fd, (what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0);
    return 0;
  }

  static int OnTimeout(CURLM*, long wait_ms, void* self) {
    auto* owner = static_cast<state*>(self);
    owner->loop.Cancel(owner->timeout);
    owner->timeout = 0;
    if (wait_ms < 0) return 0;
    owner->timeout = owner->loop.After(milliseconds(wait_ms), [owner] {
      owner->timeout = 0;
      owner->Act(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
  }
};

http_client::http_client(event_loop& loop)
    : state_(std::make_unique<state>(loop)) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  state_->multi = curl_multi_init();
  curl_multi_setopt(state_->multi, CURLMOPT_SOCKETFUNCTION, &state::OnSocket);
  curl_multi_setopt(state_->multi, CURLMOPT_SOCKETDATA, state_.get());
  curl_multi_setopt(state_->multi, CURLMOPT_TIMERFUNCTION, &state::OnTimeout);
  curl_multi_setopt(state_->multi, CURLMOPT_TIMERDATA, state_.get());
  curl_multi_setopt(state_->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
}

http_client::~http_client() {
  for (auto& [id, current] : state_->transfers) state_->Release(*current);
  state_->transfers.clear();
  curl_multi_cleanup(state_->multi);
  for (CURL* easy : state_->pool) curl_easy_cleanup(easy);
}

std::uint64_t http_client::Start(http_call call, http_callback done) {
  auto made = std::make_unique<transfer>();
  made->id = ++state_->last_id;
  made->call = std::move(call);
  made->done = std::move(done);
  made->easy = state_->TakeHandle();
  CURL* easy = made->easy;
  const http_call& kept = made->call;
  for (const auto& header : kept.headers) {
    made->headers = curl_slist_append(made->headers, header.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_PRIVATE, made.get());
  curl_easy_setopt(easy, CURLOPT_URL, kept.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, kept.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, made->headers);
  if (!kept.body.empty() || kept.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, kept.body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(kept.body.size()));
  }
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(kept.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, made.get());
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, made.get());
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocketMade);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  if (!kept.local_address.empty()) {
    curl_easy_setopt(easy, CURLOPT_INTERFACE, kept.local_address.c_str());
  }
  const std::uint64_t id = made->id;
  state_->transfers.emplace(id, std::move(made));
  curl_multi_add_handle(state_->multi, easy);
  return id;
}

void http_client::Abandon(std::uint64_t id) {
  auto found = state_->transfers.find(id);
  if (found == state_->transfers.end()) return;
  state_->Release(*found->second);
  state_->transfers.erase(found);
}

}  // namespace basilhoist
