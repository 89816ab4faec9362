#include "basilhoist/member/member_task.h"

#include <algorithm>
#include <utility>

#include "basilhoist/link/codec.h"
#include "basilhoist/ops/log.h"

namespace basilhoist {
namespace {

constexpr microseconds kTickPeriod = milliseconds(100);
// A change of members is proposed only when it was wanted for this long, so
// that instances which start together cause one view and not many.
constexpr microseconds kSettleTime = milliseconds(300);
constexpr microseconds kListPeriod = milliseconds(2000);
constexpr microseconds kIdleListPeriod = milliseconds(30000);
// A process that is no member proposes only if it heard no member for so long.
constexpr microseconds kOrphanTime = milliseconds(3000);
constexpr std::size_t kWatchers = 2;
constexpr microseconds kVersionsPeriod = milliseconds(1000);
// The platform's list of instances, in the store.
constexpr const char* kInstanceKind = "instances";
constexpr std::size_t kFrameHeaderBytes = 5;

bool SameMembers(const member_view& a, const member_view& b) {
  return a.epoch == b.epoch && a.members == b.members;
}

}  // namespace

member_task::member_task(event_loop& loop, peer_mesh& mesh, object_store& store,
                         document_table& documents, member self,
                         member_options options)
    : loop_(loop),
      mesh_(mesh),
      store_(store),
      documents_(documents),
      options_(std::move(options)),
      ownership_(std::move(self), options_.spans) {}

void member_task::Start() {
  started_ = Now();
  loop_.Every(options_.heartbeat_period, [this] { SendHeartbeats(); });
  loop_.Every(kTickPeriod, [this] { Tick(); });
  loop_.Every(kListPeriod, [this] { ReadInstances(); });
  ReadInstances();
}

void member_task::OnPeer(const member& peer) {
  known_instance& known = known_[peer.name];
  const bool restarted = known.who.incarnation != 0 &&
                         known.who.incarnation != peer.incarnation &&
                         known.who.link == peer.link;
  // A later process listens where the earlier one did: that one has ended.
  if (restarted) ownership_.OnEnded(known.who, Now());
  const member* in_view = ownership_.View().Find(peer.name);
  if (in_view != nullptr && in_view->incarnation != peer.incarnation &&
      in_view->link == peer.link) {
    ownership_.OnEnded(*in_view, Now());
  }
  if (restarted || known.who.incarnation == 0) known.retired = false;
  known.who = peer;
  known.heard_at = Now();
  PostHeartbeats();
}

void member_task::OnHeartbeat(const frame_source& source,
                              const heartbeat& beat) {
  const instant now = Now();
  known_instance& known = known_[beat.from];
  known.heard_at = now;
  known.ready = beat.ready;
  known.retired = beat.retired;
  ownership_.OnHeartbeat(beat, now);
  // The first heartbeat of an epoch is answered at once: until then the peer
  // has no grant and may not send.
  const std::uint64_t epoch = ownership_.View().epoch;
  if (beat.epoch == epoch && answered_epoch_[beat.from] != epoch) {
    answered_epoch_[beat.from] = epoch;
    SendHeartbeat(beat.from, now);
  }
  const auto link = source.link.lock();
  if (!link) return;
  if (beat.documents.empty() && beat.epoch != 0) return;
  for (const auto& each : documents_.NewerThan(beat.documents)) {
    mesh_.Send(beat.from, frame_kind::kDocument, Encode(each));
  }
}

void member_task::OnDocument(const document& arrived) {
  from_peer_ = true;
  documents_.Offer(arrived);
  from_peer_ = false;
}

// What is new goes to all at once. Their heartbeats would ask for it, too, but
// only in a while.
void member_task::PushDocument(const document& changed) {
  for (const auto& name : mesh_.Linked()) {
    const std::string bytes = Encode(changed);
    control_bytes_ += bytes.size() + kFrameHeaderBytes;
    mesh_.Send(name, frame_kind::kDocument, bytes);
  }
}

void member_task::OnChange(const document& changed) {
  ++changes_;
  // Whoever has it from the store or an operator sends it to all. The others
  // do not: a frame that got lost is made good by the versions in heartbeats.
  if (!from_peer_) PushDocument(changed);
  PostHeartbeats();
  if (changed.name != kViewDocument) return;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(view, ParseMemberView(changed.content));
        ownership_.TakeUp(servers_, Now());
        ownership_.OnView(view, Now());
        LogOf("member")->info("View {} has {} members.", view.epoch,
                              view.members.size());
        for (const auto& each : view.members) mesh_.Know(each.link);
        return {};
      },
      [](const error_detail& detail) {
        LogOf("member")->error("A view cannot be read: {}", detail.text);
      },
      [] { LogOf("member")->error("A view cannot be read."); });
}

void member_task::PostHeartbeats() {
  if (heartbeat_posted_) return;
  heartbeat_posted_ = true;
  loop_.Post([this] {
    heartbeat_posted_ = false;
    SendHeartbeats();
  });
}

void member_task::SendHeartbeats() {
  const instant now = Now();
  for (const auto& name : mesh_.Linked()) SendHeartbeat(name, now);
}

void member_task::SendHeartbeat(const std::string& to, instant now) {
  heartbeat beat = ownership_.MakeHeartbeat(to, now);
  beat.ready = ready_;
  // Versions ride along when something changed, and now and then in case a
  // frame was lost with a link: they are half of a heartbeat's bytes.
  told_state& told = told_[to];
  if (told.changes != changes_ || now - told.at > kVersionsPeriod) {
    told = {changes_, now};
    beat.documents = documents_.Versions();
  }
  const std::string bytes = Encode(beat);
  control_bytes_ += bytes.size() + kFrameHeaderBytes;
  mesh_.Send(to, frame_kind::kHeartbeat, bytes);
}

void member_task::Tick() {
  ownership_.OnTime(Now());
  ownership_.TakeUp(servers_, Now());
  Propose();
}

void member_task::Retire() {
  retired_ = true;
  ownership_.Retire(servers_, Now());
  SendHeartbeats();
}

void member_task::Release(const std::string& server) {
  ownership_.Release(server);
  PostHeartbeats();
}

bool member_task::HeardLately(const std::string& name) const {
  if (name == ownership_.Self().name) return true;
  const auto found = known_.find(name);
  return found != known_.end() &&
         Now() - found->second.heard_at < options_.spans.silence;
}

bool member_task::HearsAnyone() const {
  return std::any_of(known_.begin(), known_.end(), [this](const auto& entry) {
    return HeardLately(entry.first);
  });
}

// The first member in the order of names that is alive proposes. Two that
// both take themselves for the first are told apart by the store.
bool member_task::MayPropose() const {
  const member_view& view = ownership_.View();
  if (retired_ || proposing_) return false;
  if (view.epoch == 0) return Now() - started_ > kSettleTime;
  if (!ownership_.Settled()) return false;
  const auto out = ownership_.Out();
  for (const auto& each : view.members) {
    if (each.name == ownership_.Self().name) return ownership_.IsMember();
    if (!out.contains(each.name) && HeardLately(each.name)) return false;
  }
  return Now() - started_ > kOrphanTime;
}

std::optional<member_view> member_task::NextView() const {
  const member_view& view = ownership_.View();
  const auto out = ownership_.Out();
  member_view next{.epoch = view.epoch + 1, .previous = view.members};
  next.members.push_back(ownership_.Self());
  for (const auto& [name, known] : known_) {
    const bool alive = HeardLately(name) && !known.retired;
    if (alive && known.who.incarnation != 0) next.members.push_back(known.who);
  }
  // A member that is silent but not yet fenced keeps its place.
  for (const auto& each : view.members) {
    const bool listed = std::any_of(
        next.members.begin(), next.members.end(),
        [&](const member& other) { return other.name == each.name; });
    if (!listed && !out.contains(each.name)) next.members.push_back(each);
  }
  std::sort(next.members.begin(), next.members.end());
  const bool fenced_alive =
      std::any_of(next.members.begin(), next.members.end(),
                  [&](const member& each) { return out.contains(each.name); });
  if (next.members == view.members && !fenced_alive) return std::nullopt;
  return next;
}

void member_task::Propose() {
  if (!MayPropose()) return;
  const auto next = NextView();
  if (!next) {
    wanted_.reset();
    return;
  }
  const instant now = Now();
  if (!wanted_ || !SameMembers(*wanted_, *next)) {
    wanted_ = next;
    wanted_since_ = now;
    return;
  }
  if (now - wanted_since_ < kSettleTime) return;
  proposing_ = true;
  store_.Get(DocumentKind(options_.site), kViewDocument,
             [this, next = *next](call_outcome outcome, const object& found) {
               OnStoredView(next, outcome, found);
             });
}

void member_task::OnStoredView(const member_view& next, call_outcome outcome,
                               const object& found) {
  if (outcome == call_outcome::kMissing) {
    WriteView(next, 0);
    return;
  }
  if (outcome != call_outcome::kOk) {
    proposing_ = false;
    return;
  }
  const std::string text = found.Text();
  const document stored{kViewDocument, ContentVersion(text), text};
  // A store that came back with an older view loses to what members hold.
  if (stored.version < next.epoch && !documents_.Offer(stored)) {
    WriteView(next, found.revision);
    return;
  }
  documents_.Offer(stored);
  proposing_ = false;
}

void member_task::WriteView(const member_view& proposed,
                            std::uint64_t revision) {
  const std::string text = FormatMemberView(proposed);
  const auto done = [this, epoch = proposed.epoch, text](call_outcome outcome,
                                                         const object&) {
    proposing_ = false;
    wanted_.reset();
    // A write whose answer was lost is found by the next reading.
    if (outcome != call_outcome::kOk) return;
    documents_.Offer({kViewDocument, epoch, text});
  };
  store_.Put(DocumentKind(options_.site),
             {.name = kViewDocument, .revision = revision, .content = text},
             done);
}

// The list tells of instances that have ended. It is read by the watchers, now
// and then, and by anyone who cannot go on without it.
bool member_task::NeedsList() const {
  const instant now = Now();
  const bool alone = ownership_.View().epoch == 0 || mesh_.Linked().empty();
  if (alone || !ownership_.LeaseValid(now)) return true;
  if (!IsWatcher()) return false;
  const bool unsettled = !ownership_.Settled() || !ownership_.Out().empty();
  return unsettled || now - list_read_at_ > kIdleListPeriod;
}

void member_task::ReadInstances() {
  if (!NeedsList()) return;
  list_read_at_ = Now();
  ReadInstances({}, std::make_shared<std::set<std::string>>());
}

void member_task::ReadInstances(
    const std::string& after,
    const std::shared_ptr<std::set<std::string>>& present) {
  store_.List(kInstanceKind, {.after = after},
              [this, present](call_outcome outcome, const object_page& page) {
                if (outcome != call_outcome::kOk) return;
                for (const object& each : page.objects) {
                  present->insert(each.name);
                  mesh_.Know(ParseEndpoint(TextField(each.content, "link")));
                }
                if (page.has_more && !page.objects.empty()) {
                  ReadInstances(page.objects.back().name, present);
                } else {
                  OnInstances(*present);
                }
              });
}

void member_task::OnInstances(const std::set<std::string>& present) {
  listed_.insert(present.begin(), present.end());
  // One that was listed and is no more has ended.
  const member_view view = ownership_.View();
  const auto check = [&](const member& each) {
    if (!listed_.contains(each.name) || present.contains(each.name)) return;
    ownership_.OnEnded(each, Now());
  };
  std::for_each(view.members.begin(), view.members.end(), check);
  std::for_each(view.previous.begin(), view.previous.end(), check);
}

bool member_task::IsWatcher() const {
  const member_view& view = ownership_.View();
  const auto out = ownership_.Out();
  std::size_t before = 0;
  for (const auto& each : view.members) {
    if (each.name == ownership_.Self().name) return before < kWatchers;
    if (!out.contains(each.name) && HeardLately(each.name)) ++before;
  }
  // Not a member: watch until there is a view to hear from.
  return view.epoch == 0 || mesh_.Linked().empty();
}

}  // namespace basilhoist
