// The event loop of a process, with its timers, and watches of file
// descriptors.
#pragma once

#include <functional>
#include <memory>

#include "basilhoist/base/clock.h"

struct ev_loop;

namespace basilhoist {

/// Identifies a timer; 0 is never a valid id.
using timer_id = std::uint64_t;

/// A single-threaded event loop on libev. A process has one; its functions may
/// be called only from the thread that runs it.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Processes events until Stop is called.
  void Run();

  /// Makes Run return after the current loop iteration.
  void Stop();

  /// Queues a function to run once, after the handlers of all events already
  /// read and before the loop waits for new ones.
  void Post(std::function<void()> work);

  /// Schedules a function to run once at a point in time.
  /// @param when the point in time; if it has passed, the function runs when
  ///   the loop next checks its timers
  /// @param work the function to run
  /// @return the timer's id, for Cancel
  timer_id At(instant when, std::function<void()> work);

  /// Schedules a function to run once, `span` from now.
  /// @return the timer's id, for Cancel
  timer_id After(microseconds span, std::function<void()> work);

  /// Runs a function repeatedly, `period` after each return, for the lifetime
  /// of the loop. The first run is one `period` from now. Cannot be cancelled.
  void Every(microseconds period, std::function<void()> work);

  /// Cancels a timer; ignores an id that is unknown or has already fired.
  void Cancel(timer_id id);

  /// Sets the handler of SIGTERM and SIGINT, which ask the process to exit.
  void OnTerminate(std::function<void()> work);

  /// Sets the handler of SIGHUP, which asks the process to reload its settings.
  void OnReload(std::function<void()> work);

  /// @return the underlying libev loop
  struct ev_loop* Raw() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Watches one file descriptor for readability and writability.
class fd_watch {
 public:
  /// @param loop the event loop; must outlive the watch
  /// @param on_event called as on_event(readable, writable)
  fd_watch(event_loop& loop, std::function<void(bool, bool)> on_event);
  ~fd_watch();
  fd_watch(const fd_watch&) = delete;
  fd_watch& operator=(const fd_watch&) = delete;

  /// Starts or changes the watch; stops it if both flags are false.
  void Set(int fd, bool readable, bool writable);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace basilhoist
