#include "basilhoist/http/http_client.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <unordered_map>
#include <utility>

#include "basilhoist/http/status.h"

namespace basilhoist {
namespace {

constexpr long kMaxIdleConnections = 4096;
constexpr std::size_t kMaxPooledHandles = 512;
// A peer may become unreachable without a TCP reset. With keep-alive probes
// that start after 1 s without traffic, the connection fails within about 3 s,
// and calls that wait for a slow reply need no shorter timeout.
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;
// Time after which unacknowledged data fails the connection.
constexpr int kUnacknowledgedTimeoutMs = 3000;

// A call in progress, with its libcurl handle.
struct transfer : http_result {
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  std::uint64_t id = 0;
  http_call call;
  http_callback done;
  std::string body;
  std::size_t head_bytes = 0;  // interim replies and trailer fields included
  CURLcode code = CURLE_OK;
  bool sent = false;

  bool HasReply() const override {
    return code == CURLE_OK && IsFinalStatus(ReceivedStatus());
  }
  bool Sent() const override { return sent; }
  bool ConnectFailed() const override { return code == CURLE_COULDNT_CONNECT; }
  bool TimedOut() const override { return code == CURLE_OPERATION_TIMEDOUT; }
  std::string& Body() override { return body; }

  int Status() const override { return HasReply() ? ReceivedStatus() : 0; }

  int ReceivedStatus() const {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
  }

  std::string Header(const char* name) const override {
    curl_header* found = nullptr;
    const auto result =
        curl_easy_header(easy, name, 0, CURLH_HEADER, -1, &found);
    return result == CURLHE_OK ? std::string(found->value) : std::string();
  }
};

// Appends a part of the reply body. Returning 0 makes libcurl fail the
// transfer.
size_t OnBody(char* data, size_t size, size_t count, void* self) {
  auto& current = *static_cast<transfer*>(self);
  if (current.body.size() + size * count > current.call.max_reply_bytes) {
    return 0;
  }
  current.body.append(data, size * count);
  return size * count;
}

// Counts a header line. libcurl limits the lines of a head, but keeps trailer
// fields without a limit. Returning 0 makes it fail the transfer.
size_t OnHeaderLine(char*, size_t size, size_t count, void* self) {
  auto& current = *static_cast<transfer*>(self);
  current.head_bytes += size * count;
  return current.head_bytes > current.call.max_head_bytes ? 0 : size * count;
}

int OnSocketCreated(void*, curl_socket_t fd, curlsocktype) {
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeIdleSeconds,
             sizeof kProbeIdleSeconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalSeconds,
             sizeof kProbeIntervalSeconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof kProbeCount);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedTimeoutMs,
             sizeof kUnacknowledgedTimeoutMs);
  return CURL_SOCKOPT_OK;
}

// Runs when the connection is established. A second call for the same transfer
// means that libcurl is about to retry the request, because a reused connection
// failed after the request had been sent. The server may have run that request,
// so the retry is aborted.
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

/// The libcurl multi handle, its transfers and its sockets in the event loop.
struct http_client::state {
  event_loop& loop;
  CURLM* multi = nullptr;
  timer_id timeout = 0;
  std::uint64_t last_id = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<transfer>> transfers;
  std::unordered_map<curl_socket_t, std::unique_ptr<fd_watch>> watches;
  std::vector<CURL*> pool;

  explicit state(event_loop& the_loop) : loop(the_loop) {}

  /// @return a handle from the pool, or a new one if the pool is empty
  CURL* AcquireHandle() {
    if (pool.empty()) return curl_easy_init();
    CURL* easy = pool.back();
    pool.pop_back();
    return easy;
  }

  /// Detaches the transfer from libcurl and returns its handle to the pool.
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

  /// Lets libcurl handle events of a socket or an expired timeout.
  void HandleEvents(curl_socket_t fd, int events) {
    int running = 0;
    curl_multi_socket_action(multi, fd, events, &running);
    FinishCompleted();
  }

  /// Finishes the transfers that libcurl reports as done.
  void FinishCompleted() {
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

  /// Runs the transfer's callback with the outcome and releases the transfer.
  void Finish(std::uint64_t id, CURLcode code) {
    auto found = transfers.find(id);
    if (found == transfers.end()) return;
    auto current = std::move(found->second);
    transfers.erase(found);
    current->code = code;
    current->done(*current);
    Release(*current);
  }

  /// Called by libcurl to change which events of a socket it waits for.
  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*) {
    auto& watches = static_cast<state*>(self)->watches;
    if (what == CURL_POLL_REMOVE) {
      // The watch object is kept for the next use of this descriptor:
      // libcurl keeps connections open and adds their socket again for each
      // transfer.
      const auto known = watches.find(fd);
      if (known != watches.end()) known->second->Set(-1, false, false);
      return 0;
    }
    auto& watch = watches[fd];
    if (!watch) {
      auto* owner = static_cast<state*>(self);
      watch = std::make_unique<fd_watch>(
          owner->loop, [owner, fd](bool readable, bool writable) {
            owner->HandleEvents(fd, (readable ? CURL_CSELECT_IN : 0) |
                                        (writable ? CURL_CSELECT_OUT : 0));
          });
    }
    watch->Set(fd, (what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0);
    return 0;
  }

  /// Called by libcurl to set its timer; a negative time cancels it.
  static int OnTimeout(CURLM*, long wait_ms, void* self) {
    auto* owner = static_cast<state*>(self);
    owner->loop.Cancel(owner->timeout);
    owner->timeout = 0;
    if (wait_ms < 0) return 0;
    owner->timeout = owner->loop.After(milliseconds(wait_ms), [owner] {
      owner->timeout = 0;
      owner->HandleEvents(CURL_SOCKET_TIMEOUT, 0);
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
  auto current = std::make_unique<transfer>();
  current->id = ++state_->last_id;
  current->call = std::move(call);
  current->done = std::move(done);
  current->easy = state_->AcquireHandle();
  CURL* easy = current->easy;
  const http_call& request = current->call;
  for (const auto& header : request.headers) {
    current->headers = curl_slist_append(current->headers, header.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_PRIVATE, current.get());
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, current->headers);
  if (!request.body.empty() || request.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request.body.size()));
  }
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(request.timeout.count()));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, current.get());
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, current.get());
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, current.get());
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &OnSocketCreated);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  if (!request.local_address.empty()) {
    curl_easy_setopt(easy, CURLOPT_INTERFACE, request.local_address.c_str());
  }
  const std::uint64_t id = current->id;
  state_->transfers.emplace(id, std::move(current));
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
