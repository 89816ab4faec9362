// Messages between instances. Encoded by cereal; the frame carries the kind.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "basilhoist/base/verdict.h"

namespace basilhoist {

/// What a frame between two instances holds.
enum class frame_kind : std::uint8_t {
  kHello = 1,
  kSubrequests = 2,
  kSubreplies = 3,
  kCancels = 4,
  kHeartbeat = 5,
  kDocument = 6,
  kRelayRequest = 7,
  kRelayUpdate = 8,
  kRelayCancel = 9,
  kRelayLimits = 10,
  kHandover = 11,
  kHandoverReply = 12,
  kHandoverCancel = 13,
  kRelayTerms = 14,
};

/// What a caller asks for.
enum class operation : std::uint8_t {
  kQuery,   ///< Every shard of a service group.
  kLookup,  ///< One record, from the shard that holds its key.
  kOnce,    ///< A request that may not be repeated.
};

/// First frame on a link: who connects.
struct hello {
  std::string name;
  std::string failure_domain;
  std::string link_address;  ///< "IP:port" where it takes links.
  std::string ops_address;   ///< "IP:port" where it takes operators.
  std::uint64_t incarnation = 0;

  bool operator==(const hello&) const = default;
};

/// What several sub-requests of one batch have in common.
struct request_payload {
  std::string request_id;
  operation kind = operation::kQuery;
  std::string body;

  bool operator==(const request_payload&) const = default;
};

/// One piece of work for one backend server.
struct subrequest {
  std::uint64_t id = 0;  ///< Chosen by the entry; echoed in the reply.
  std::string server;
  std::string shard;
  std::uint64_t version = 0;      ///< The pinned index version.
  std::int64_t time_left_us = 0;  ///< Until its deadline, when sent.
  std::uint32_t payload = 0;      ///< Index into the batch's payloads.
  bool second_attempt = false;

  bool operator==(const subrequest&) const = default;
};

/// Work from one entry for one owner.
struct subrequest_batch {
  std::vector<request_payload> payloads;
  std::vector<subrequest> items;

  bool operator==(const subrequest_batch&) const = default;
};

/// How full a backend server is, as its owner sees it.
struct server_load {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t window = 0;  ///< Requests it may have in flight now.

  bool operator==(const server_load&) const = default;
};

/// What became of one sub-request.
struct subreply {
  std::uint64_t id = 0;
  verdict outcome = verdict::kNotRun;
  reason why = reason::kNone;
  std::uint32_t retry_after_ms = 0;
  std::string shard;                 ///< As echoed by the backend server.
  std::uint64_t version = 0;         ///< As echoed by the backend server.
  std::uint64_t oldest_version = 0;  ///< Oldest it serves; 0 if unknown.
  std::uint64_t newest_version = 0;  ///< Newest it serves; 0 if unknown.
  std::uint32_t queue_wait_us = 0;   ///< Time spent in the owner's queue.
  std::string body;
  server_load load;

  bool operator==(const subreply&) const = default;
};

/// The load of one backend server, told along with replies.
struct load_report {
  std::string server;
  server_load load;

  bool operator==(const load_report&) const = default;
};

/// Replies from one owner to one entry.
struct subreply_batch {
  std::vector<subreply> items;
  std::vector<load_report> loads;  ///< Changed since the last batch.

  bool operator==(const subreply_batch&) const = default;
};

/// Sub-requests that the entry no longer needs.
struct cancel_batch {
  std::vector<std::uint64_t> ids;

  bool operator==(const cancel_batch&) const = default;
};

/// A document as passed from member to member: the highest version wins.
struct document {
  std::string name;
  std::uint64_t version = 0;
  std::string content;  ///< JSON.

  bool operator==(const document&) const = default;
};

/// Name and version of a document that a member holds.
struct document_version {
  std::string name;
  std::uint64_t version = 0;

  bool operator==(const document_version&) const = default;
};

/// A member's sign of life, and its acknowledgement of the peer's.
struct heartbeat {
  std::string from;
  std::uint64_t incarnation = 0;
  std::uint64_t epoch = 0;      ///< Epoch of the member view it acts in.
  std::int64_t sent_at_us = 0;  ///< On the sender's clock.
  std::int64_t echo_us = 0;     ///< Newest `sent_at_us` heard from the peer, or
                                ///< zero when the sender grants it no lease.
  bool retired = false;         ///< It holds no backend server any more.
  bool ready = false;           ///< It takes requests from callers.
  std::vector<std::string> fenced;           ///< In `epoch`.
  std::vector<std::string> previous_fenced;  ///< When it left epoch - 1.
  std::vector<std::string> released;         ///< Servers handed over.
  /// Of a retired member: servers that no owner of epoch - 1 can act for.
  std::vector<std::string> cleared;
  std::vector<document_version> documents;

  bool operator==(const heartbeat&) const = default;
};

/// What an instance holds of one kind of objects.
struct held_snapshot {
  std::string kind;
  std::uint64_t revision = 0;
  std::uint64_t digest = 0;  ///< Of the content, whatever its revision.

  bool operator==(const held_snapshot&) const = default;
};

/// Servers of one service that ended while they ran a request.
struct suspect_service {
  std::uint64_t service = 0;           ///< Hash of its name.
  bool answered = false;               ///< One of its servers answered it.
  std::vector<std::uint64_t> servers;  ///< Hashes of the servers' runs.

  bool operator==(const suspect_service&) const = default;
};

/// A request that was in flight at servers when they ended.
struct suspect_report {
  std::uint64_t fingerprint = 0;
  bool answered = false;      ///< By any service.
  std::uint32_t idle_ms = 0;  ///< Since it was blamed last.
  std::vector<suspect_service> services;

  bool operator==(const suspect_report&) const = default;
};

/// Shards of one caller's request, for an instance near their servers.
struct relay_request {
  std::uint64_t id = 0;  ///< Chosen by the sender; unique on its link.
  std::string head;      ///< Request line and headers that servers get.
  std::string body;
  bool is_head_method = false;
  std::string request_id;
  std::string route_name;
  std::uint64_t fingerprint = 0;
  std::uint64_t path_fingerprint = 0;
  std::uint32_t max_attempts = 1;
  std::int64_t objective_us = 0;       ///< Of the route.
  std::int64_t objective_left_us = 0;  ///< Until the update must leave.
  std::int64_t deadline_left_us = 0;
  std::uint32_t max_records = 0;
  std::vector<std::string> shards;

  bool operator==(const relay_request&) const = default;
};

/// Additions to the relay_request of the same id. Sent before it on the same
/// link; instances that do not know this kind of frame ignore it.
struct relay_terms {
  std::uint64_t id = 0;
  std::string workspace;
  std::uint32_t priority = 0;
  /// After a loss of the relay, the sender uses only the servers that are
  /// reserved for it, so the relay may choose among all others.
  bool reserves_servers = false;

  bool operator==(const relay_terms&) const = default;
};

/// A shard that was answered.
struct relayed_part {
  std::uint32_t shard = 0;  ///< Index into the request's shards.
  std::string signature;

  bool operator==(const relayed_part&) const = default;
};

/// What a server said of itself in its answers.
struct server_notice {
  std::uint64_t run = 0;  ///< Hash of the server's run.
  bool leaving = false;
  std::uint32_t quiet_ms = 0;  ///< It wants to be left alone for so long.

  bool operator==(const server_notice&) const = default;
};

/// What has become of a relayed request since the last update.
struct relay_update {
  std::uint64_t id = 0;
  std::vector<relayed_part> parts;
  std::string records;                ///< The greatest ones of these parts.
  std::vector<std::uint32_t> failed;  ///< Shards that will not be answered.
  /// Shards that the relay could send to no server; it may know less of them
  /// than the sender.
  std::vector<std::uint32_t> not_sent;
  /// Of the servers that kept the relay from sending.
  std::vector<server_notice> notices;
  bool may_have_run = false;  ///< A failed shard may have run it.

  bool operator==(const relay_update&) const = default;
};

/// The relayed request is needed no more.
struct relay_cancel {
  std::uint64_t id = 0;

  bool operator==(const relay_cancel&) const = default;
};

/// A rate limit that a server advertises, as an instance observes it.
struct rate_limit_report {
  std::uint64_t run = 0;  ///< Hash of the server's run.
  double per_s = 0;       ///< Requests per second from all instances together.
  bool ended = false;     ///< Its replies do not advertise the limit any more.
  std::uint32_t age_ms = 0;  ///< Since the reply that showed this.

  bool operator==(const rate_limit_report&) const = default;
};

/// Rate limits that kept a relay from sending shards of a batch. Sent before
/// the update that returns them; instances that do not know this kind of frame
/// ignore it.
struct relay_limits {
  std::uint64_t id = 0;  ///< Of the relayed request.
  std::vector<rate_limit_report> limits;

  bool operator==(const relay_limits&) const = default;
};

/// Rate limits that an instance reports to peers by a datagram of its own. The
/// magic number tells it from a peer_state, for instances of either kind.
struct rate_limit_digest {
  static constexpr std::uint64_t kMagic = 0xFFFFFFFF4C494D54;
  std::uint64_t magic = kMagic;
  std::vector<rate_limit_report> limits;

  bool operator==(const rate_limit_digest&) const = default;
};

/// A server that looks silent or slow to the instance that reports it.
struct server_health_report {
  std::uint64_t run = 0;  ///< Hash of the server's run.
  /// Ratio of actual to expected reply times, in tenths.
  std::uint16_t slowness_tenths = 0;
  std::uint16_t age_ms = 0;  ///< Since the observation.

  bool operator==(const server_health_report&) const = default;
};

/// Servers that an instance reports to peers, in a datagram of its own as a
/// rate_limit_digest.
struct server_health_digest {
  static constexpr std::uint64_t kMagic = 0xFFFFFFFF484C5448;
  std::uint64_t magic = kMagic;
  std::vector<server_health_report> servers;

  bool operator==(const server_health_digest&) const = default;
};

/// How much of its usage limit a workspace has used at one instance, and what
/// it asks for there.
struct usage_demand {
  std::uint64_t workspace = 0;  ///< Hash of its name.
  std::uint64_t admitted = 0;   ///< Requests so far, since the instance began.
  std::uint32_t recent = 0;     ///< Of these, in the last two seconds.
  std::uint32_t arrived = 0;    ///< Requests in the last second.
  double rate_per_s = 0;        ///< The limit that the instance knows.
  double burst = 0;             ///< Of that limit.
  std::uint64_t version = 0;    ///< Of the routing table with that limit.

  bool operator==(const usage_demand&) const = default;
};

/// What an instance tells a keeper of usage limits, by a datagram of its own.
/// The magic number tells it from other datagrams; builds that do not know it
/// ignore it.
struct usage_report {
  static constexpr std::uint64_t kMagic = 0xFFFFFFFF55534752;
  std::uint64_t magic = kMagic;
  std::uint32_t address = 0;  ///< IPv4, where the sender takes the answer.
  std::uint16_t port = 0;
  std::uint64_t incarnation = 0;  ///< Of the sender.
  std::uint64_t sent_us = 0;      ///< On the sender's clock; echoed.
  std::vector<usage_demand> demands;

  bool operator==(const usage_report&) const = default;
};

/// What a keeper grants an instance of a workspace's usage limit.
struct usage_grant {
  std::uint64_t workspace = 0;  ///< Hash of its name.
  std::uint64_t sent_us = 0;    ///< Of the newest report that it is based on.
  std::uint32_t sequence = 0;   ///< Grows among the answers to one report.
  std::uint64_t counted = 0;    ///< `admitted` of that report.
  /// The instance may admit requests until it has admitted so many.
  std::uint64_t granted = 0;
  std::uint32_t wait_ms = 0;  ///< Until a refused request may be granted.
  /// Part of the workspace's requests that arrive at the instance.
  std::uint32_t part_permille = 0;
  /// Requests that the instance may admit later ahead of a grant; 0 while the
  /// limit is used up or nearly so.
  std::uint8_t ahead = 0;
  bool exceeded = false;  ///< More than the limit has been admitted.
  /// Time for which the keeper has counted the workspace, 5 s at most.
  std::uint32_t counting_ms = 0;

  bool operator==(const usage_grant&) const = default;
};

/// A keeper's answer to usage reports of one instance.
struct usage_answer {
  static constexpr std::uint64_t kMagic = 0xFFFFFFFF55534741;
  std::uint64_t magic = kMagic;
  std::uint32_t address = 0;  ///< IPv4, where the keeper takes reports.
  std::uint16_t port = 0;
  std::uint64_t incarnation = 0;  ///< Of the instance that reported.
  std::vector<usage_grant> grants;

  bool operator==(const usage_answer&) const = default;
};

/// Answers of one version of a service's servers on one route, by reply time.
struct rollout_bucket {
  std::uint8_t bucket = 0;  ///< See ReplyTimeBucket.
  std::uint32_t answers = 0;

  bool operator==(const rollout_bucket&) const = default;
};

/// How often a server's connections broke off with requests in progress.
struct rollout_breaks {
  std::uint64_t server = 0;    ///< Hash of the incarnation.
  std::uint16_t episodes = 0;  ///< Breaks at about the same time count once.
  bool crashed = false;        ///< The incarnation is known to have crashed.

  bool operator==(const rollout_breaks&) const = default;
};

struct rollout_version_report {
  std::uint32_t failed = 0;
  std::vector<rollout_bucket> answered;

  bool operator==(const rollout_version_report&) const = default;
};

struct rollout_route_report {
  std::uint64_t route = 0;  ///< Hash of the name.
  rollout_version_report old_version;
  rollout_version_report target;

  bool operator==(const rollout_route_report&) const = default;
};

/// What an instance has seen of a rollout since it knows the order, for the
/// instances that decide. A datagram of its own; builds that do not know the
/// magic number ignore it.
struct rollout_report {
  static constexpr std::uint64_t kMagic = 0xFFFFFFFF524F5052;
  std::uint64_t magic = kMagic;
  std::uint64_t order = 0;    ///< rollout_order::Id().
  std::uint32_t address = 0;  ///< IPv4, where the sender takes the notice.
  std::uint16_t port = 0;
  std::uint64_t incarnation = 0;  ///< Of the sender.
  std::uint32_t age_ms = 0;       ///< Of the order, as the sender knows it.
  std::uint64_t revision = 0;     ///< Of the order, as the sender knows it.
  std::vector<rollout_breaks> broken_old;
  std::vector<rollout_breaks> broken_target;
  std::vector<rollout_route_report> routes;

  bool operator==(const rollout_report&) const = default;
};

/// The answer of an instance that decides about a rollout.
struct rollout_notice {
  static constexpr std::uint64_t kMagic = 0xFFFFFFFF524F4E54;
  std::uint64_t magic = kMagic;
  std::uint64_t order = 0;
  std::uint32_t address = 0;  ///< IPv4, of the instance that decides.
  std::uint16_t port = 0;
  std::uint32_t age_ms = 0;  ///< Of the order.
  std::uint64_t revision = 0;
  std::uint8_t verdict = 0;  ///< rollout_verdict.

  bool operator==(const rollout_notice&) const = default;
};

/// Which part of some requests to admit. Without a workspace it applies to
/// those of the same priority that the report does not name.
struct admission_report_share {
  std::uint64_t workspace = 0;  ///< Hash of the name.
  std::uint16_t permille = 1000;
  std::uint8_t priority = 0;

  bool operator==(const admission_report_share&) const = default;
};

/// Which part of the requests the servers of some services can take.
struct admission_report {
  std::uint64_t origin = 0;       ///< Hash of the instance that observed it.
  std::uint64_t service_set = 0;  ///< Hash of the services.
  std::uint16_t age_ms = 0;       ///< Since the observation.
  /// Requests without an entry are admitted.
  std::vector<admission_report_share> shares;

  bool operator==(const admission_report&) const = default;
};

/// Reports that an instance sends or passes on to peers, in a datagram of its
/// own as a rate_limit_digest.
struct admission_digest {
  static constexpr std::uint64_t kMagic = 0xFFFFFFFF41444D54;
  std::uint64_t magic = kMagic;
  std::vector<admission_report> reports;

  bool operator==(const admission_digest&) const = default;
};

/// A header field of a request that is handed over or of its answer.
struct handover_header {
  std::string name;
  std::string value;

  bool operator==(const handover_header&) const = default;
};

/// A caller's request for an instance that reaches the servers.
struct handover_request {
  std::uint64_t id = 0;  ///< Chosen by the sender; unique on its link.
  std::string method;
  std::string target;
  std::vector<handover_header> headers;
  std::string body;

  bool operator==(const handover_request&) const = default;
};

/// What has become of a request that is handed over.
enum class handover_state : std::uint8_t {
  kAccepted,  ///< The answer follows.
  kRejected,  ///< It has not run and will not.
  kAnswered,
};

/// State of a request that is handed over, with the answer if there is one.
struct handover_reply {
  std::uint64_t id = 0;
  handover_state state = handover_state::kAccepted;
  std::int32_t status = 0;
  std::string content_type;
  std::vector<handover_header> headers;
  std::string body;

  bool operator==(const handover_reply&) const = default;
};

/// The request that is handed over is needed no more.
struct handover_cancel {
  std::uint64_t id = 0;

  bool operator==(const handover_cancel&) const = default;
};

/// Unit of shares on the wire, where a number always has a meaning.
inline constexpr double kPermille = 1000;

/// What one instance passes on of another.
struct told_instance {
  std::uint32_t address = 0;  ///< IPv4, where it takes datagrams and batches.
  std::uint16_t port = 0;
  std::uint16_t processor_permille = 0;  ///< Of a core that it may use.
  /// Grows while it lives, so that old news of it is told from new.
  std::uint64_t beat = 0;
  std::uint32_t quiet_ms = 0;  ///< Its beat has not grown for so long.
  bool serving = false;        ///< It is ready and not about to end.
  bool reads_store = false;    ///< It follows the store, which answers it.

  bool operator==(const told_instance&) const = default;
};

/// Instances of one failure domain.
struct told_domain {
  std::string failure_domain;
  std::vector<told_instance> instances;

  bool operator==(const told_domain&) const = default;
};

/// What instances tell each other by datagrams.
struct peer_state {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint64_t beat = 0;     ///< As in told_instance.
  std::string address;        ///< "IP:port" where it takes datagrams.
  std::string fetch_address;  ///< "IP:port" where it hands out snapshots.
  std::string failure_domain;
  std::uint32_t processor_permille = 1000;  ///< Of a core that it may use.
  bool serving = false;        ///< It is ready and not about to end.
  bool reads_store = false;    ///< It follows the store itself.
  bool store_answers = false;  ///< The store answered its last calls.
  bool joining = false;        ///< It asks for an answer at once.
  /// Instances that it knows of, and what they may use of processors.
  std::uint32_t known_instances = 0;
  std::uint64_t known_permille = 0;
  std::vector<held_snapshot> held;
  std::vector<told_domain> told;
  std::vector<suspect_report> suspects;

  bool operator==(const peer_state&) const = default;
};

}  // namespace basilhoist
