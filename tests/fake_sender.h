// A sender of requests to backend servers whose replies the test supplies.
#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilhoist/backend/request_sender.h"

namespace basilhoist::test {

/// Records sends instead of making them; the test supplies the replies.
class fake_sender : public request_sender {
 public:
  struct sent_request {
    std::string server;
    std::string service;
    std::string head;
    bool fresh = false;
    reply_handler done;
  };

  std::uint64_t Send(const listed_server& server, unsigned, bool fresh,
                     backend_request request, reply_handler done) override {
    sent.push_back({.server = server.info.id,
                    .service = server.info.service,
                    .head = request.head,
                    .fresh = fresh,
                    .done = std::move(done)});
    return sent.size();
  }
  bool CanSend(const listed_server& server, unsigned) const override {
    return !without_connection.contains(server.info.id);
  }
  void CheckListening(const listed_server& server,
                      listen_check::handler done) override {
    done(refusing.contains(server.info.id) ? listen_state::kRefused
                                           : check_result);
  }
  void Abandon(std::uint64_t id) override {
    sent[id - 1].done = nullptr;
    abandoned.push_back(id);
  }

  void Reply(std::size_t number, backend_reply reply) {
    const auto done = std::move(sent.at(number).done);
    sent.at(number).done = nullptr;
    if (done) done(std::move(reply));
  }

  std::vector<sent_request> sent;
  std::vector<std::uint64_t> abandoned;
  std::set<std::string> without_connection;  // ids of servers
  listen_state check_result = listen_state::kListening;
  std::set<std::string> refusing;  // ids of servers
};

}  // namespace basilhoist::test
