// basilhoist-bare: the least loop of libcurl multi against backend servers.
// Its processor time is what a sub-request costs before any decision is made.
#include <curl/curl.h>
#include <docopt/docopt.h>

#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <sstream>
#include <vector>

namespace {

constexpr const char* kUsage = R"(The least loop of libcurl multi.

Usage:
  basilhoist-bare --servers=LIST [--each=N] [--seconds=S] [--source=IP]
  basilhoist-bare (-h | --help)

Options:
  --servers=LIST  Backend servers: IP:PORT,IP:PORT.
  --each=N        Requests in flight at each [default: 2].
  --seconds=S     How long [default: 3].
  --source=IP     IP number to send from [default: 127.0.0.1].

Prints the number of requests and the processor time of each in microseconds.
)";

constexpr int kPollMs = 100;

size_t Ignore(char*, size_t size, size_t count, void*) { return size * count; }

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

class bare_loop {
 public:
  bare_loop(const std::string& servers, long each, const std::string& source)
      : multi_(curl_multi_init()) {
    for (const char* header :
         {"X-Request-Id: bare.1", "X-Shard: s", "X-Index-Version: 1",
          "X-Deadline-Ms: 900", "Content-Type: application/json", "Expect:"}) {
      headers_ = curl_slist_append(headers_, header);
    }
    std::istringstream list(servers);
    for (std::string server; std::getline(list, server, ',');) {
      for (long i = 0; i < each; ++i) AddHandle(server, source);
    }
  }

  void Run(double seconds) {
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::duration<double>(seconds);
    while (std::chrono::steady_clock::now() < until) {
      int running = 0;
      curl_multi_perform(multi_, &running);
      Collect();
      curl_multi_poll(multi_, nullptr, 0, kPollMs, nullptr);
    }
  }

  long Done() const { return done_; }

 private:
  void AddHandle(const std::string& server, const std::string& source) {
    CURL* easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + server + "/run").c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, "{\"find\":1}");
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Ignore);
    curl_easy_setopt(easy, CURLOPT_INTERFACE, source.c_str());
    curl_multi_add_handle(multi_, easy);
  }

  void Collect() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      CURL* easy = message->easy_handle;
      done_ += message->data.result == CURLE_OK ? 1 : 0;
      curl_multi_remove_handle(multi_, easy);
      curl_multi_add_handle(multi_, easy);
    }
  }

  CURLM* multi_;
  curl_slist* headers_ = nullptr;
  long done_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const auto given =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "basilhoist-bare");
  curl_global_init(CURL_GLOBAL_DEFAULT);
  bare_loop loop(given.at("--servers").asString(), given.at("--each").asLong(),
                 given.at("--source").asString());
  const double before = CpuSeconds();
  loop.Run(std::stod(given.at("--seconds").asString()));
  const double used = CpuSeconds() - before;
  const double each =
      loop.Done() > 0 ? used * 1e6 / static_cast<double>(loop.Done()) : 0;
  std::cout << loop.Done() << " " << each << "\n";
  return EXIT_SUCCESS;
}
