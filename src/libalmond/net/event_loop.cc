#include "libalmond/net/event_loop.h"

#include <event2/event.h>

#include <csignal>
#include <utility>

namespace almond {
namespace {

timeval ToTimeval(duration time) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(time).count();
  timeval result{};
  result.tv_sec = micros / 1'000'000;
  result.tv_usec = micros % 1'000'000;
  return result;
}

}  // namespace

struct event_handle::state {
  event* handle = nullptr;
  std::function<void()> callback;
  event_loop* owner = nullptr;  ///< set if posted without a handle

  state() = default;
  state(const state&) = delete;
  state& operator=(const state&) = delete;
  ~state() {
    if (handle != nullptr) event_free(handle);
  }

  static void Fire(evutil_socket_t /*descriptor*/, short /*flags*/,
                   void* argument) {
    auto* raw = static_cast<state*>(argument);
    const std::shared_ptr<void> posted =
        raw->owner == nullptr ? nullptr : raw->owner->Release(raw);
    // The callback may destroy the handle and with it this state.
    const std::function<void()> callback = raw->callback;
    callback();
  }
};

event_handle::event_handle(event_handle&&) noexcept = default;
event_handle& event_handle::operator=(event_handle&&) noexcept = default;

void event_handle::Reset() { state_.reset(); }

event_loop::event_loop() : base_(event_base_new()) {
  // A write to a closed connection must return an error instead of ending the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond the file size limit must fail instead of ending the process.
  std::signal(SIGXFSZ, SIG_IGN);
}

void event_loop::IgnoreUnhandledSignal(int signal) {
  std::signal(signal, SIG_IGN);
}

event_loop::~event_loop() {
  // A destructor may post a callback.
  while (!owned_.empty()) std::exchange(owned_, {}).clear();
  event_base_free(base_);
}

void event_loop::Own(std::shared_ptr<void> object) {
  const void* key = object.get();
  owned_[key] = std::move(object);
}

std::shared_ptr<void> event_loop::Release(const void* object) {
  const auto found = owned_.find(object);
  if (found == owned_.end()) return nullptr;
  std::shared_ptr<void> result = std::move(found->second);
  owned_.erase(found);
  return result;
}

void event_loop::Run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void event_loop::Stop() { event_base_loopbreak(base_); }

event_handle event_loop::Add(int descriptor, short flags, const duration* delay,
                             std::function<void()> callback) {
  event_handle result;
  result.state_ = std::make_shared<event_handle::state>();
  result.state_->callback = std::move(callback);
  result.state_->handle =
      event_new(base_, descriptor, flags, &event_handle::state::Fire,
                result.state_.get());
  if (delay == nullptr) {
    event_add(result.state_->handle, nullptr);
  } else {
    const timeval time = ToTimeval(*delay);
    event_add(result.state_->handle, &time);
  }
  return result;
}

event_handle event_loop::Every(duration period,
                               std::function<void()> callback) {
  return Add(-1, EV_PERSIST, &period, std::move(callback));
}

event_handle event_loop::After(duration delay, std::function<void()> callback) {
  return Add(-1, 0, &delay, std::move(callback));
}

void event_loop::Post(duration delay, std::function<void()> callback) {
  const event_handle handle = After(delay, std::move(callback));
  handle.state_->owner = this;
  Own(handle.state_);
}

event_handle event_loop::OnReadable(int descriptor,
                                    std::function<void()> callback) {
  return Add(descriptor, EV_READ, nullptr, std::move(callback));
}

event_handle event_loop::OnSignal(int signal, std::function<void()> callback) {
  return Add(signal, EV_SIGNAL | EV_PERSIST, nullptr, std::move(callback));
}

}  // namespace almond
