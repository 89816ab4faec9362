#include "basilhoist/link/codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <istream>
#include <ostream>
#include <streambuf>

namespace basilhoist {

template <typename Archive>
void serialize(Archive& archive, hello& m) {
  archive(m.name, m.failure_domain, m.link_address, m.ops_address,
          m.incarnation);
}
template <typename Archive>
void serialize(Archive& archive, request_payload& m) {
  archive(m.request_id, m.kind, m.body);
}
template <typename Archive>
void serialize(Archive& archive, subrequest& m) {
  archive(m.id, m.server, m.shard, m.version, m.time_left_us, m.payload,
          m.second_attempt);
}
template <typename Archive>
void serialize(Archive& archive, subrequest_batch& m) {
  archive(m.payloads, m.items);
}
template <typename Archive>
void serialize(Archive& archive, server_load& m) {
  archive(m.in_flight, m.queued, m.window);
}
template <typename Archive>
void serialize(Archive& archive, subreply& m) {
  archive(m.id, m.outcome, m.why, m.retry_after_ms, m.shard, m.version,
          m.oldest_version, m.newest_version, m.queue_wait_us, m.body, m.load);
}
template <typename Archive>
void serialize(Archive& archive, load_report& m) {
  archive(m.server, m.load);
}
template <typename Archive>
void serialize(Archive& archive, subreply_batch& m) {
  archive(m.items, m.loads);
}
template <typename Archive>
void serialize(Archive& archive, cancel_batch& m) {
  archive(m.ids);
}
template <typename Archive>
void serialize(Archive& archive, document& m) {
  archive(m.name, m.version, m.content);
}
template <typename Archive>
void serialize(Archive& archive, document_version& m) {
  archive(m.name, m.version);
}
template <typename Archive>
void serialize(Archive& archive, heartbeat& m) {
  archive(m.from, m.incarnation, m.epoch, m.sent_at_us, m.echo_us, m.retired,
          m.ready, m.fenced, m.previous_fenced, m.released, m.cleared,
          m.documents);
}
template <typename Archive>
void serialize(Archive& archive, relay_request& m) {
  archive(m.id, m.head, m.body, m.is_head_method, m.request_id, m.route_name,
          m.fingerprint, m.max_attempts, m.objective_us, m.objective_left_us,
          m.deadline_left_us, m.most_records, m.shards);
}
template <typename Archive>
void serialize(Archive& archive, relayed_part& m) {
  archive(m.shard, m.signature);
}
template <typename Archive>
void serialize(Archive& archive, relay_update& m) {
  archive(m.id, m.parts, m.records, m.failed, m.not_sent, m.may_have_run);
}
template <typename Archive>
void serialize(Archive& archive, relay_cancel& m) {
  archive(m.id);
}
template <typename Archive>
void serialize(Archive& archive, held_snapshot& m) {
  archive(m.kind, m.revision, m.digest);
}
template <typename Archive>
void serialize(Archive& archive, suspect_report& m) {
  archive(m.fingerprint, m.servers);
}
template <typename Archive>
void serialize(Archive& archive, peer_state& m) {
  archive(m.name, m.incarnation, m.address, m.fetch_address, m.relay_address,
          m.failure_domain, m.serving, m.held, m.peers, m.suspects);
}

namespace {

// A stream over bytes that are already there, and one that appends to a
// string: the standard string streams would copy both ways.
class view_buffer : public std::streambuf {
 public:
  explicit view_buffer(std::string_view bytes) {
    char* first = const_cast<char*>(bytes.data());
    setg(first, first, first + bytes.size());
  }
  [[nodiscard]] bool AtEnd() const { return gptr() == egptr(); }
};

class append_buffer : public std::streambuf {
 public:
  std::string bytes;

 protected:
  std::streamsize xsputn(const char* data, std::streamsize size) override {
    bytes.append(data, static_cast<std::size_t>(size));
    return size;
  }
  int_type overflow(int_type value) override {
    bytes.push_back(static_cast<char>(value));
    return value;
  }
};

}  // namespace

template <typename Message>
std::string Encode(const Message& message) {
  append_buffer buffer;
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  return std::move(buffer.bytes);
}

template <typename Message>
std::optional<Message> Decode(std::string_view bytes) {
  view_buffer buffer(bytes);
  std::istream stream(&buffer);
  try {
    Message message;
    cereal::PortableBinaryInputArchive archive(stream);
    archive(message);
    if (!buffer.AtEnd()) return std::nullopt;
    return message;
  } catch (const std::exception&) {
    // cereal reports short or absurd input by exceptions; they end here.
    return std::nullopt;
  }
}

#define BASILHOIST_CODEC(type)              \
  template std::string Encode(const type&); \
  template std::optional<type> Decode(std::string_view);
BASILHOIST_CODEC(hello)
BASILHOIST_CODEC(subrequest_batch)
BASILHOIST_CODEC(subreply_batch)
BASILHOIST_CODEC(cancel_batch)
BASILHOIST_CODEC(document)
BASILHOIST_CODEC(heartbeat)
BASILHOIST_CODEC(peer_state)
BASILHOIST_CODEC(relay_request)
BASILHOIST_CODEC(relay_update)
BASILHOIST_CODEC(relay_cancel)
#undef BASILHOIST_CODEC

}  // namespace basilhoist
