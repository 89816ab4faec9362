// The event loop that all tasks of a process share, and its timer service.
#pragma once

#include <functional>
#include <memory>

#include "basilhoist/base/clock.h"

struct ev_loop;

namespace basilhoist {

/// Names one timer; zero is none.
using timer_id = std::uint64_t;

/// Runs tasks on libev. One per process; not safe to use from other threads.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Runs until Stop.
  void Run();

  /// Ends Run after the present turn.
  void Stop();

  /// Runs a function later in this turn, after all events read so far.
  void Post(std::function<void()> work);

  /// Subscribes to a point in time.
  /// @param when the instant; one that has passed runs in the next turn
  /// @param work what to run
  /// @return the timer's id, for Cancel
  timer_id At(instant when, std::function<void()> work);

  /// Subscribes to a point `span` from now.
  timer_id After(microseconds span, std::function<void()> work);

  /// Runs a function again and again, `period` apart, for good.
  void Every(microseconds period, std::function<void()> work);

  /// Drops a timer; an unknown id is ignored.
  void Cancel(timer_id id);

  /// Calls a function when the process is asked to end (SIGTERM or SIGINT).
  void OnTerminate(std::function<void()> work);

  /// Calls a function when the process is told to read its settings anew
  /// (SIGHUP).
  void OnReload(std::function<void()> work);

  /// @return the underlying libev loop
  struct ev_loop* Raw() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Watches one file descriptor.
class fd_watch {
 public:
  /// @param loop the loop; must outlive the watch
  /// @param on_event called with "readable" and "writable"
  fd_watch(event_loop& loop, std::function<void(bool, bool)> on_event);
  ~fd_watch();
  fd_watch(const fd_watch&) = delete;
  fd_watch& operator=(const fd_watch&) = delete;

  /// Starts or changes the watch; neither flag stops it.
  void Set(int fd, bool readable, bool writable);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
