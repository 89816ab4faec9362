#include "played_server.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace basilhoist::standin {
namespace {

// A cold server is slower by this factor.
constexpr double kColdFactor = 2.0;
// A cold server gets one more in flight after so many successes; it is a
// little quicker than its settings promise.
constexpr double kWarmUpShare = 0.8;

std::string WithoutAttempt(const std::string& id) {
  return id.substr(0, id.rfind('.'));
}

// The third number of an address stands for the failure domain.
std::string DomainPart(const std::string& address) {
  const auto first = address.find('.');
  const auto second = address.find('.', first + 1);
  const auto third = address.find('.', second + 1);
  if (third == std::string::npos) return {};
  return address.substr(second + 1, third - second - 1);
}

std::uint64_t Number(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

}  // namespace

played_server::played_server(event_loop& loop, options how)
    : loop_(loop), how_(std::move(how)) {
  Listen();
}

void played_server::Listen() {
  ++starts_;
  const endpoint& where = how_.entry.server.where;
  server_ = std::make_unique<http_server>(
      loop_,
      http_server_options{.address = where.address,
                          .port = where.port,
                          .max_connections = how_.entry.limits.connections * 8},
      [this](const exchange_ptr& exchange) { OnRequest(exchange); });
}

void played_server::ClearCounters() {
  counters_ = {};
  records_.clear();
  for (auto& [id, run] : running_) run.record = std::string::npos;
}

std::uint32_t played_server::Bears() const {
  if (!cold_) return how_.entry.limits.slots;
  const double per_step = how_.entry.limits.successes_per_step * kWarmUpShare;
  const auto steps = static_cast<std::uint32_t>(successes_ / per_step);
  return std::min(how_.entry.limits.slots,
                  how_.entry.limits.cold_in_flight + steps);
}

void played_server::TurnCold() {
  cold_ = true;
  successes_ = 0;
}

void played_server::Crash() {
  ++counters_.crashes;
  for (auto& [id, run] : running_) {
    loop_.Cancel(run.timer);
    if (run.record < records_.size()) records_[run.record].outcome = "died";
  }
  running_.clear();
  // The server may be in the middle of handing over a request.
  loop_.Post([this] {
    server_.reset();
    TurnCold();
    loop_.After(how_.restart_time, [this] {
      if (!server_) Listen();
    });
  });
}

microseconds played_server::Distance(const http_exchange& exchange) const {
  const bool far = DomainPart(exchange.PeerAddress()) !=
                   DomainPart(how_.entry.server.where.address);
  return far ? how_.cross_domain_delay : microseconds(0);
}

void played_server::OnRequest(const exchange_ptr& exchange) {
  constexpr std::string_view kRun = "/run";
  const std::string& path = exchange->Path();
  counters_.most_connections =
      std::max(counters_.most_connections, server_->Connections());
  if (exchange->Method() == "DELETE" && path.starts_with("/run/")) {
    const std::string id = path.substr(kRun.size() + 1);
    loop_.After(Distance(*exchange),
                [this, exchange, id] { OnCancel(exchange, id); });
  } else if (path == kRun) {
    microseconds delay = Distance(*exchange);
    if (exchange->FirstOnConnection()) delay += how_.entry.limits.connect_time;
    if (delay.count() == 0) {
      OnRun(exchange);
    } else {
      loop_.After(delay, [this, exchange] { OnRun(exchange); });
    }
  } else {
    // Health lags and misleads: it is always well.
    exchange->Reply({.body = R"({"status":"ok"})"});
  }
}

http_reply played_server::MakeReply(const http_exchange& exchange,
                                    int status) const {
  http_reply reply{.status = status};
  reply.headers = {
      {"X-Request-Id", exchange.Header("X-Request-Id")},
      {"X-Shard", exchange.Header("X-Shard")},
      {"X-Index-Version", exchange.Header("X-Index-Version")},
      {"X-Incarnation", how_.entry.server.name + "-" + std::to_string(starts_)},
      {"X-Oldest-Version", std::to_string(faults_.oldest_version)},
      {"X-Newest-Version", std::to_string(faults_.newest_version)}};
  if (faults_.draining) reply.headers.push_back({"X-Draining", "1"});
  return reply;
}

void played_server::Respond(const exchange_ptr& exchange, http_reply reply) {
  const microseconds delay = Distance(*exchange);
  if (delay.count() == 0) {
    exchange->Reply(std::move(reply));
    return;
  }
  loop_.After(delay,
              [exchange, reply = std::move(reply)] { exchange->Reply(reply); });
}

void played_server::Refuse(const exchange_ptr& exchange, int status) {
  http_reply reply = MakeReply(*exchange, status);
  reply.headers.push_back({"X-Not-Run", "1"});
  Respond(exchange, std::move(reply));
}

void played_server::OnRun(const exchange_ptr& exchange) {
  if (!server_) return;  // it died while the request was on its way
  ++counters_.arrivals;
  const std::string id = exchange->Header("X-Request-Id");
  const std::uint64_t version = Number(exchange->Header("X-Index-Version"));
  if (faults_.draining) {
    Refuse(exchange, 503);
    return;
  }
  if (version < faults_.oldest_version || version > faults_.newest_version) {
    Refuse(exchange, 410);
    return;
  }
  const auto in_flight = static_cast<std::uint32_t>(running_.size()) + 1;
  const std::uint32_t slots = how_.entry.limits.slots;
  const std::uint32_t bears = Bears();
  if (in_flight > slots) {
    counters_.most_over_slots =
        std::max(counters_.most_over_slots, in_flight - slots);
  }
  if (cold_ && in_flight > bears) {
    counters_.most_over_window =
        std::max(counters_.most_over_window, in_flight - bears);
    if (in_flight >= slots) {
      Crash();
      return;
    }
  }
  if (in_flight > slots) {
    ++counters_.shed;
    Refuse(exchange, 503);
    return;
  }
  Begin(exchange, id);
}

void played_server::Begin(const exchange_ptr& exchange, const std::string& id) {
  ++counters_.runs;
  const auto now = std::chrono::duration_cast<microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  counters_.last_run_us = now.count();
  running run{.exchange = exchange,
              .base_id = WithoutAttempt(id),
              .shard = exchange->Header("X-Shard"),
              .version = Number(exchange->Header("X-Index-Version")),
              .record = records_.size()};
  if (how_.keep_records) {
    records_.push_back({.server = how_.entry.server.name,
                        .request_id = run.base_id,
                        .shard = run.shard,
                        .version = run.version,
                        .at_us = now.count(),
                        .once = exchange->Header("X-Once") == "1",
                        .outcome = "running"});
  }
  const microseconds needed =
      ServiceTime(how_.times, run.base_id, run.shard, how_.entry.server.name);
  const double factor = faults_.slow_factor * (cold_ ? kColdFactor : 1.0);
  const auto span = microseconds(
      static_cast<std::int64_t>(static_cast<double>(needed.count()) * factor));
  const milliseconds deadline(Number(exchange->Header("X-Deadline-Ms")));
  const bool crashes = exchange->Body().find("\"crash\"") != std::string::npos;
  if (crashes) {
    run.timer = loop_.After(span / 2, [this] { Crash(); });
  } else if (span > deadline) {
    run.timer = loop_.After(deadline, [this, id] { End(id, 504, "expired"); });
  } else {
    run.timer = loop_.After(span, [this, id] { End(id, 200, "done"); });
  }
  running_[id] = std::move(run);
  CountInFlight();
}

void played_server::CountInFlight() {
  counters_.most_in_flight = std::max(
      counters_.most_in_flight, static_cast<std::uint32_t>(running_.size()));
}

void played_server::End(const std::string& id, int status,
                        const std::string& outcome) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const running run = found->second;
  running_.erase(found);
  loop_.Cancel(run.timer);
  if (run.record < records_.size()) records_[run.record].outcome = outcome;
  if (status == 200 && ++successes_ && Bears() >= how_.entry.limits.slots) {
    cold_ = false;
  }
  if (faults_.drop_replies) return;
  http_reply reply = MakeReply(*run.exchange, status);
  if (status == 200) {
    reply.body = "{\"server\":\"" + how_.entry.server.name + "\",\"row\":\"" +
                 ExpectedRow(run.shard, run.version, run.exchange->Body()) +
                 "\"}";
  }
  if (faults_.cross_replies && starts_ > 0 && counters_.runs % 10 == 0) {
    reply.headers.front().value = "crossed.0";
  }
  Respond(run.exchange, std::move(reply));
}

void played_server::OnCancel(const exchange_ptr& exchange,
                             const std::string& id) {
  End(id, 499, "cancelled");
  exchange->Reply({.body = "{}"});
}

}  // namespace basilhoist::standin
