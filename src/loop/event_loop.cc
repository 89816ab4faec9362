#include "basilhoist/loop/event_loop.h"

#include <ev.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace basilhoist {

struct event_loop::state {
  struct timer {
    instant when;
    std::function<void()> work;
  };

  struct ev_loop* loop = nullptr;
  ev_timer wakeup{};
  ev_prepare prepare{};
  ev_signal terminate{};
  ev_signal interrupt{};
  ev_signal hangup{};
  std::multimap<instant, timer_id> schedule;
  std::unordered_map<timer_id, timer> timers;
  std::vector<std::function<void()>> posted;
  std::function<void()> on_terminate;
  std::function<void()> on_reload;
  timer_id last_id = 0;

  void RunPosted() {
    while (!posted.empty()) {
      std::vector<std::function<void()>> work;
      work.swap(posted);
      for (auto& function : work) function();
    }
  }

  void RunExpiredTimers() {
    const instant now = Now();
    while (!schedule.empty() && schedule.begin()->first <= now) {
      const timer_id id = schedule.begin()->second;
      schedule.erase(schedule.begin());
      auto found = timers.find(id);
      auto work = std::move(found->second.work);
      timers.erase(found);
      work();
    }
  }

  // A single libev timer serves all timers of the loop: it is set to the
  // earliest of them.
  void ArmWakeup() {
    ev_timer_stop(loop, &wakeup);
    if (schedule.empty()) return;
    const auto span = schedule.begin()->first - Now();
    const double seconds = static_cast<double>(span.count()) / 1e6;
    ev_now_update(loop);
    ev_timer_set(&wakeup, std::max(0.0, seconds), 0.);
    ev_timer_start(loop, &wakeup);
  }
};

event_loop::event_loop() : state_(std::make_unique<state>()) {
  // A write to a closed connection must return EPIPE instead of ending the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  state_->loop = ev_loop_new(EVBACKEND_EPOLL);
  ev_set_userdata(state_->loop, state_.get());
  ev_init(&state_->wakeup, [](struct ev_loop* loop, ev_timer*, int) {
    static_cast<state*>(ev_userdata(loop))->RunExpiredTimers();
  });
  // After a pause, what sockets bring, such as a close, is handled before
  // timers that have expired meanwhile.
  ev_set_priority(&state_->wakeup, EV_MINPRI);
  ev_prepare_init(&state_->prepare, [](struct ev_loop* loop, ev_prepare*, int) {
    auto* self = static_cast<state*>(ev_userdata(loop));
    self->RunPosted();
    self->ArmWakeup();
  });
  ev_prepare_start(state_->loop, &state_->prepare);
}

event_loop::~event_loop() { ev_loop_destroy(state_->loop); }

void event_loop::Run() { ev_run(state_->loop, 0); }

void event_loop::Stop() { ev_break(state_->loop, EVBREAK_ALL); }

void event_loop::Post(std::function<void()> work) {
  state_->posted.push_back(std::move(work));
}

timer_id event_loop::At(instant when, std::function<void()> work) {
  const timer_id id = ++state_->last_id;
  state_->schedule.emplace(when, id);
  state_->timers.emplace(id, state::timer{when, std::move(work)});
  return id;
}

timer_id event_loop::After(microseconds span, std::function<void()> work) {
  return At(Now() + span, std::move(work));
}

void event_loop::Every(microseconds period, std::function<void()> work) {
  After(period, [this, period, work = std::move(work)]() mutable {
    work();
    Every(period, std::move(work));
  });
}

void event_loop::Cancel(timer_id id) {
  auto found = state_->timers.find(id);
  if (found == state_->timers.end()) return;
  auto [first, last] = state_->schedule.equal_range(found->second.when);
  while (first != last && first->second != id) ++first;
  if (first != last) state_->schedule.erase(first);
  state_->timers.erase(found);
}

void event_loop::OnTerminate(std::function<void()> work) {
  state_->on_terminate = std::move(work);
  const auto on_signal = [](struct ev_loop* loop, ev_signal*, int) {
    static_cast<state*>(ev_userdata(loop))->on_terminate();
  };
  ev_signal_init(&state_->terminate, on_signal, SIGTERM);
  ev_signal_init(&state_->interrupt, on_signal, SIGINT);
  ev_signal_start(state_->loop, &state_->terminate);
  ev_signal_start(state_->loop, &state_->interrupt);
}

void event_loop::OnReload(std::function<void()> work) {
  state_->on_reload = std::move(work);
  const auto on_signal = [](struct ev_loop* loop, ev_signal*, int) {
    static_cast<state*>(ev_userdata(loop))->on_reload();
  };
  ev_signal_init(&state_->hangup, on_signal, SIGHUP);
  ev_signal_start(state_->loop, &state_->hangup);
}

struct ev_loop* event_loop::Raw() const {
  return state_->loop;
}

struct fd_watch::state {
  struct ev_loop* loop = nullptr;
  ev_io io{};
  std::function<void(bool, bool)> on_event;
  int fd = -1;
  int events = 0;
};

fd_watch::fd_watch(event_loop& loop, std::function<void(bool, bool)> on_event)
    : state_(std::make_unique<state>()) {
  state_->loop = loop.Raw();
  state_->on_event = std::move(on_event);
  ev_init(&state_->io, [](struct ev_loop*, ev_io* io, int events) {
    auto* self = static_cast<state*>(io->data);
    self->on_event((events & EV_READ) != 0, (events & EV_WRITE) != 0);
  });
  state_->io.data = state_.get();
}

fd_watch::~fd_watch() { ev_io_stop(state_->loop, &state_->io); }

void fd_watch::Set(int fd, bool readable, bool writable) {
  const int events = (readable ? EV_READ : 0) | (writable ? EV_WRITE : 0);
  if (fd == state_->fd && events == state_->events) return;
  state_->fd = fd;
  state_->events = events;
  ev_io_stop(state_->loop, &state_->io);
  if (events == 0) return;
  ev_io_set(&state_->io, fd, events);
  ev_io_start(state_->loop, &state_->io);
}

}  // namespace basilhoist
