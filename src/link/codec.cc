#include "basilhoist/link/codec.h"

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cstring>
#include <exception>
#include <type_traits>
#include <vector>

namespace basilhoist {
namespace {

// Archives of cereal over plain bytes. Its own ones work on streams, and make
// room for whatever size a message states before they find that the bytes are
// not there.
class frame_output
    : public cereal::OutputArchive<frame_output,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit frame_output(std::string& bytes)
      : OutputArchive(this), bytes_(bytes) {}

  void Write(const void* data, std::size_t size) {
    bytes_.append(static_cast<const char*>(data), size);
  }

 private:
  std::string& bytes_;
};

class frame_input
    : public cereal::InputArchive<frame_input, cereal::AllowEmptyClassElision> {
 public:
  explicit frame_input(std::string_view bytes)
      : InputArchive(this), left_(bytes) {}

  void Read(void* data, std::size_t size) {
    Require(size);
    std::memcpy(data, left_.data(), size);
    left_.remove_prefix(size);
  }

  // An element of a list takes a byte at least.
  void Require(std::uint64_t size) const {
    if (size > left_.size()) throw cereal::Exception("short message");
  }

  [[nodiscard]] bool AtEnd() const { return left_.empty(); }

 private:
  std::string_view left_;
};

template <typename Value>
std::enable_if_t<std::is_arithmetic_v<Value>> CEREAL_SAVE_FUNCTION_NAME(
    frame_output& archive, const Value& value) {
  archive.Write(&value, sizeof value);
}

template <typename Value>
std::enable_if_t<std::is_arithmetic_v<Value>> CEREAL_LOAD_FUNCTION_NAME(
    frame_input& archive, Value& value) {
  archive.Read(&value, sizeof value);
}

template <typename Value>
void CEREAL_SAVE_FUNCTION_NAME(frame_output& archive,
                               const cereal::SizeTag<Value>& tag) {
  archive(static_cast<std::uint64_t>(tag.size));
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(frame_input& archive,
                               cereal::SizeTag<Value>& tag) {
  std::uint64_t size = 0;
  archive(size);
  archive.Require(size);
  tag.size = static_cast<std::remove_reference_t<decltype(tag.size)>>(size);
}

template <typename Value>
void CEREAL_SAVE_FUNCTION_NAME(frame_output& archive,
                               const cereal::BinaryData<Value>& data) {
  archive.Write(data.data, static_cast<std::size_t>(data.size));
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(frame_input& archive,
                               cereal::BinaryData<Value>& data) {
  archive.Read(data.data, static_cast<std::size_t>(data.size));
}

template <typename Element>
void CEREAL_SAVE_FUNCTION_NAME(frame_output& archive,
                               const std::vector<Element>& list) {
  archive(cereal::make_size_tag(list.size()));
  for (const Element& element : list) archive(element);
}

// Makes room for elements as they are read: in memory they may take many times
// their size in the frame, and a frame may state more than it holds.
template <typename Element>
void CEREAL_LOAD_FUNCTION_NAME(frame_input& archive,
                               std::vector<Element>& list) {
  std::size_t size = 0;
  archive(cereal::make_size_tag(size));
  list.clear();
  for (std::size_t i = 0; i < size; ++i) archive(list.emplace_back());
}

}  // namespace
}  // namespace basilhoist

CEREAL_SETUP_ARCHIVE_TRAITS(basilhoist::frame_input, basilhoist::frame_output)

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
          m.fingerprint, m.path_fingerprint, m.max_attempts, m.objective_us,
          m.objective_left_us, m.deadline_left_us, m.max_records, m.shards);
}
template <typename Archive>
void serialize(Archive& archive, relay_terms& m) {
  archive(m.id, m.workspace, m.priority, m.reserves_servers);
}
template <typename Archive>
void serialize(Archive& archive, server_health_report& m) {
  archive(m.run, m.slowness_tenths, m.age_ms);
}
template <typename Archive>
void serialize(Archive& archive, server_health_digest& m) {
  archive(m.magic, m.servers);
}
template <typename Archive>
void serialize(Archive& archive, rollout_bucket& m) {
  archive(m.bucket, m.answers);
}
template <typename Archive>
void serialize(Archive& archive, rollout_breaks& m) {
  archive(m.server, m.episodes, m.crashed);
}
template <typename Archive>
void serialize(Archive& archive, rollout_version_report& m) {
  archive(m.failed, m.answered);
}
template <typename Archive>
void serialize(Archive& archive, rollout_route_report& m) {
  archive(m.route, m.old_version, m.target);
}
template <typename Archive>
void serialize(Archive& archive, rollout_report& m) {
  archive(m.magic, m.order, m.address, m.port, m.incarnation, m.age_ms,
          m.revision, m.broken_old, m.broken_target, m.routes);
}
template <typename Archive>
void serialize(Archive& archive, rollout_notice& m) {
  archive(m.magic, m.order, m.address, m.port, m.age_ms, m.revision, m.verdict);
}
template <typename Archive>
void serialize(Archive& archive, admission_report_share& m) {
  archive(m.workspace, m.permille, m.priority);
}
template <typename Archive>
void serialize(Archive& archive, admission_report& m) {
  archive(m.origin, m.service_set, m.age_ms, m.shares);
}
template <typename Archive>
void serialize(Archive& archive, admission_digest& m) {
  archive(m.magic, m.reports);
}
template <typename Archive>
void serialize(Archive& archive, relayed_part& m) {
  archive(m.shard, m.signature);
}
template <typename Archive>
void serialize(Archive& archive, relay_update& m) {
  archive(m.id, m.parts, m.records, m.failed, m.not_sent, m.notices,
          m.may_have_run);
}
template <typename Archive>
void serialize(Archive& archive, relay_cancel& m) {
  archive(m.id);
}
template <typename Archive>
void serialize(Archive& archive, handover_header& m) {
  archive(m.name, m.value);
}
template <typename Archive>
void serialize(Archive& archive, handover_request& m) {
  archive(m.id, m.method, m.target, m.headers, m.body);
}
template <typename Archive>
void serialize(Archive& archive, handover_reply& m) {
  archive(m.id, m.state, m.status, m.content_type, m.headers, m.body);
}
template <typename Archive>
void serialize(Archive& archive, handover_cancel& m) {
  archive(m.id);
}
template <typename Archive>
void serialize(Archive& archive, held_snapshot& m) {
  archive(m.kind, m.revision, m.digest);
}
template <typename Archive>
void serialize(Archive& archive, server_notice& m) {
  archive(m.run, m.leaving, m.quiet_ms);
}
template <typename Archive>
void serialize(Archive& archive, rate_limit_report& m) {
  archive(m.run, m.per_s, m.ended, m.age_ms);
}
template <typename Archive>
void serialize(Archive& archive, relay_limits& m) {
  archive(m.id, m.limits);
}
template <typename Archive>
void serialize(Archive& archive, usage_demand& m) {
  archive(m.workspace, m.admitted, m.recent, m.arrived, m.rate_per_s, m.burst,
          m.version);
}
template <typename Archive>
void serialize(Archive& archive, usage_report& m) {
  archive(m.magic, m.address, m.port, m.incarnation, m.sent_us, m.demands);
}
template <typename Archive>
void serialize(Archive& archive, usage_grant& m) {
  archive(m.workspace, m.sent_us, m.sequence, m.counted, m.granted, m.wait_ms,
          m.part_permille, m.ahead, m.exceeded, m.counting_ms);
}
template <typename Archive>
void serialize(Archive& archive, usage_answer& m) {
  archive(m.magic, m.address, m.port, m.incarnation, m.grants);
}
template <typename Archive>
void serialize(Archive& archive, rate_limit_digest& m) {
  archive(m.magic, m.limits);
}
template <typename Archive>
void serialize(Archive& archive, suspect_service& m) {
  archive(m.service, m.answered, m.servers);
}
template <typename Archive>
void serialize(Archive& archive, suspect_report& m) {
  archive(m.fingerprint, m.answered, m.idle_ms, m.services);
}
template <typename Archive>
void serialize(Archive& archive, told_instance& m) {
  archive(m.address, m.port, m.processor_permille, m.beat, m.quiet_ms,
          m.serving, m.reads_store);
}
template <typename Archive>
void serialize(Archive& archive, told_domain& m) {
  archive(m.failure_domain, m.instances);
}
template <typename Archive>
void serialize(Archive& archive, peer_state& m) {
  archive(m.name, m.incarnation, m.beat, m.address, m.fetch_address,
          m.failure_domain, m.processor_permille, m.serving, m.reads_store,
          m.store_answers, m.joining, m.known_instances, m.known_permille,
          m.held, m.told, m.suspects);
}

template <typename Message>
std::string Encode(const Message& message) {
  std::string bytes;
  frame_output archive(bytes);
  archive(message);
  return bytes;
}

template <typename Message>
std::optional<Message> Decode(std::string_view bytes) {
  try {
    Message message;
    frame_input archive(bytes);
    archive(message);
    if (!archive.AtEnd()) return std::nullopt;
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
BASILHOIST_CODEC(relay_terms)
BASILHOIST_CODEC(relay_update)
BASILHOIST_CODEC(relay_cancel)
BASILHOIST_CODEC(relay_limits)
BASILHOIST_CODEC(rate_limit_digest)
BASILHOIST_CODEC(server_health_digest)
BASILHOIST_CODEC(usage_report)
BASILHOIST_CODEC(usage_answer)
BASILHOIST_CODEC(rollout_report)
BASILHOIST_CODEC(rollout_notice)
BASILHOIST_CODEC(admission_digest)
BASILHOIST_CODEC(handover_request)
BASILHOIST_CODEC(handover_reply)
BASILHOIST_CODEC(handover_cancel)
#undef BASILHOIST_CODEC

}  // namespace basilhoist
