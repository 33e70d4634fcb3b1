#ifndef ALMOND_NET_EVENT_LOOP_H_
#define ALMOND_NET_EVENT_LOOP_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "libalmond/core/clock.h"

struct event;
struct event_base;

namespace almond {

/// Owns a timer, signal handler or read event; destroying the handle cancels
/// it. May be destroyed from within its own callback.
class event_handle {
 public:
  event_handle() = default;
  ~event_handle() { Reset(); }
  event_handle(event_handle&&) noexcept;
  event_handle& operator=(event_handle&&) noexcept;
  event_handle(const event_handle&) = delete;
  event_handle& operator=(const event_handle&) = delete;

  /// Cancels the callback.
  void Reset();
  bool Active() const { return state_ != nullptr; }

 private:
  friend class event_loop;
  struct state;
  std::shared_ptr<state> state_;
};

/// The one event loop of a process, on one thread.
class event_loop {
 public:
  event_loop();
  /// Destroys the callbacks that have been posted and not called, and what the
  /// loop owns.
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /// Runs until Stop is called.
  void Run();
  /// Makes Run return after the current callback.
  void Stop();

  /// @param period time between calls
  /// @param callback called periodically until the handle is destroyed
  event_handle Every(duration period, std::function<void()> callback);
  /// @param delay time until the call; zero means the next loop iteration
  /// @param callback called once, unless the handle is destroyed before
  event_handle After(duration delay, std::function<void()> callback);
  /// @param delay time until the call
  /// @param callback called once; cannot be cancelled
  void Post(duration delay, std::function<void()> callback);
  /// Owns an object until Release is called or the loop is destroyed. For
  /// objects that wait for an event and that nothing else owns.
  void Own(std::shared_ptr<void> object);
  /// @param object an object that the loop owns; no effect for others
  /// @returns the object
  std::shared_ptr<void> Release(const void* object);

  /// @param signal signal number
  /// @param callback called on the loop for each signal
  event_handle OnSignal(int signal, std::function<void()> callback);
  /// Ignores a signal while no loop handles it, so that a signal during
  /// start-up or between two loops does not end the process.
  /// @param signal signal number
  static void IgnoreUnhandledSignal(int signal);

  /// @param descriptor socket; outlives the handle
  /// @param callback called once when bytes can be read or the peer has closed
  event_handle OnReadable(int descriptor, std::function<void()> callback);

  /// @returns the libevent base, for the classes of this directory only
  event_base* Base() const { return base_; }

 private:
  event_handle Add(int descriptor, short flags, const duration* delay,
                   std::function<void()> callback);

  event_base* base_;
  std::unordered_map<const void*, std::shared_ptr<void>> owned_;
};

}  // namespace almond

#endif  // ALMOND_NET_EVENT_LOOP_H_
