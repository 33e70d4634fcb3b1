#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "bench/capacity/figures.h"
#include "bench/capacity/samples.h"
#include "bench/capacity/slope.h"
#include "libalmond/controllers/entry/dispatch_controller.h"
#include "libalmond/controllers/entry/task_queue.h"
#include "libalmond/wire/dispatch_codec.h"

namespace almond::bench {
namespace {

/// Tasks in one second of the manual clock. Determines how often the entry's
/// periodic work runs between the tasks.
constexpr std::size_t kTasksPerSecond = 2000;
constexpr milliseconds kTick{50};

/// An entry's dispatch controller with agents that answer each start
/// immediately.
class entry_bench {
 public:
  entry_bench(std::size_t agents, bool codec) : codec_(codec) {
    dispatch_controller::hooks hooks;
    hooks.send = [this](link_id link, const entry_message& message) {
      Send(link, message);
    };
    hooks.on_end = [](const task_end& /*end*/) {};
    hooks.team_weight = [](const team_id& /*team*/) { return 1U; };
    hooks.data_centre = data_centre_id("nl-west-1");
    dispatch_ = std::make_unique<dispatch_controller>(clock_, metrics_,
                                                      std::move(hooks));
    for (std::size_t i = 0; i < agents; ++i) Connect(i);
  }

  /// Sends the announcement of agent `number`, through the codec if the bench
  /// includes it.
  void Announce(std::size_t number) {
    Deliver(link_id(number + 1), SampleAnnouncement(number));
  }

  void AnnounceAll() {
    for (std::size_t i = 0; i < agents_; ++i) Announce(i);
  }

  void Tick() { dispatch_->Tick(); }

  /// Submits one task, which is started and answered before the call returns.
  void RunTask(std::uint64_t number) {
    dispatch_->Submit(SampleTask(number, clock_));
    while (!starts_.empty()) {
      const auto [link, name] = starts_.front();
      starts_.pop_front();
      Deliver(link, SampleAnswer(name, grant_id(++last_grant_)));
    }
  }

  /// Counts tasks. After the number of tasks in one tick, advances the clock
  /// and runs the entry's periodic work; after that of one second, also
  /// announces all agents.
  void AdvanceAfterTasks(std::size_t tasks) {
    tasks_done_ += tasks;
    const std::size_t step =
        kTasksPerSecond * static_cast<std::size_t>(kTick.count()) / 1000;
    if (tasks_done_ % step != 0) return;
    clock_.Advance(kTick);
    dispatch_->Tick();
    if (tasks_done_ % kTasksPerSecond == 0) AnnounceAll();
  }

  void SubmitWithoutStart(std::size_t count) {
    std::vector<task> tasks;
    for (std::size_t i = 0; i < count; ++i) {
      tasks.push_back(SampleTask(i, clock_));
    }
    dispatch_->SubmitAll(std::move(tasks));
  }

 private:
  void Connect(std::size_t number) {
    ++agents_;
    Announce(number);
    grant_message grants;
    for (std::uint32_t i = 0; i < kSlots; ++i) {
      grants.grants.emplace_back(++last_grant_);
    }
    grants.lease = kGrantLease;
    Deliver(link_id(number + 1), grants);
  }

  void Send(link_id link, const entry_message& message) {
    if (const auto* start = std::get_if<start_message>(&message)) {
      starts_.emplace_back(link, start->name);
    }
    if (codec_) (void)DecodeEntryMessage(EncodeEntryMessage(message));
  }

  void Deliver(link_id link, const agent_message& message) {
    if (!codec_) {
      dispatch_->OnMessage(link, message);
      return;
    }
    const auto decoded = DecodeAgentMessage(EncodeAgentMessage(message));
    if (decoded) dispatch_->OnMessage(link, *decoded);
  }

  bool codec_;
  manual_clock clock_;
  metrics_registry metrics_;
  std::unique_ptr<dispatch_controller> dispatch_;
  std::deque<std::pair<link_id, task_name>> starts_;
  std::size_t agents_ = 0;
  std::uint64_t last_grant_ = 0;
  std::size_t tasks_done_ = 0;
};

measurement RunTasks(std::size_t agents, std::size_t tasks, bool codec) {
  entry_bench entry(agents, codec);
  const cost_meter used;
  for (std::size_t i = 0; i < tasks; ++i) {
    entry.RunTask(i);
    entry.AdvanceAfterTasks(1);
  }
  return used.Read();
}

}  // namespace

void PrintQueue(std::size_t repeats) {
  const std::vector<std::size_t> sizes = {5000, 20000, 80000};
  PrintSlope("task_queue: push, by queued task of 200 bytes", sizes, repeats,
             [](std::size_t size) {
               const manual_clock clock;
               task_queue queue([](const team_id& /*team*/) { return 1U; });
               const cost_meter used;
               for (std::size_t i = 0; i < size; ++i) {
                 queue.Push({SampleTask(i, clock), clock.SteadyNow(), 0, {}});
               }
               return used.Read();
             });
  PrintSlope("task_queue: pop, by queued task", sizes, repeats,
             [](std::size_t size) {
               const manual_clock clock;
               task_queue queue([](const team_id& /*team*/) { return 1U; });
               for (std::size_t i = 0; i < size; ++i) {
                 queue.Push({SampleTask(i, clock), clock.SteadyNow(), 0, {}});
               }
               const cost_meter used;
               while (queue.Pop([](const team_id& /*team*/) { return true; })) {
               }
               return used.Read();
             });
  PrintSlope("dispatch_controller: SubmitAll without agents, by task", sizes,
             repeats, [](std::size_t size) {
               entry_bench entry(0, false);
               const cost_meter used;
               entry.SubmitWithoutStart(size);
               return used.Read();
             });
}

void PrintDispatch(std::size_t repeats) {
  const std::vector<std::size_t> sizes = {4000, 8000, 16000};
  PrintSlope("entry: submit to end with codec at both ends, 8 agents, by task",
             sizes, repeats,
             [](std::size_t size) { return RunTasks(8, size, true); });
  PrintSlope("entry: submit to end without codec, 8 agents, by task", sizes,
             repeats,
             [](std::size_t size) { return RunTasks(8, size, false); });
  PrintSlope("entry: 2000 tasks without codec, by connected agent",
             {16, 64, 256, 1024}, repeats,
             [](std::size_t size) { return RunTasks(size, 2000, false); });
  PrintSlope("bench: making a sample task and its id, by task", sizes, repeats,
             [](std::size_t size) {
               const manual_clock clock;
               const cost_meter used;
               for (std::size_t i = 0; i < size; ++i) {
                 (void)SampleTask(i, clock);
               }
               return used.Read();
             });
}

void PrintEntryLinks(std::size_t repeats) {
  const std::vector<std::size_t> sizes = {64, 256, 1024, 4000};
  PrintSlope("entry: connect with 8 grants, by agent", sizes, repeats,
             [](std::size_t size) {
               const cost_meter used;
               const entry_bench entry(size, true);
               return used.Read();
             });
  PrintSlope("entry: one round of announcements with codec, by agent", sizes,
             repeats, [](std::size_t size) {
               entry_bench entry(size, true);
               const cost_meter used;
               entry.AnnounceAll();
               return used.Read();
             });
  PrintSlope("entry: 20 ticks (one second) without tasks, by agent", sizes,
             repeats, [](std::size_t size) {
               entry_bench entry(size, true);
               const cost_meter used;
               for (int i = 0; i < 20; ++i) entry.Tick();
               return used.Read();
             });
}

}  // namespace almond::bench
