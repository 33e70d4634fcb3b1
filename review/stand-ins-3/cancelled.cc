// A client cancels a job whose answer it still waits for.
#include "system.h"

using namespace review;

namespace {

constexpr std::int64_t kWorkMs = 1800;
constexpr std::int64_t kDeadlineMs = 9000;
constexpr std::int64_t kCancelMs = 3000;
constexpr std::int64_t kStopMs = 50;
constexpr int kJobs = 9;
/// One of so many jobs is cancelled.
constexpr int kCancelled = 3;

}  // namespace

int main(int count, char** arguments) {
  record written(count > 1 ? arguments[1] : "record.txt");
  const bool trouble = Trouble();
  written.Write("trouble: %s", trouble ? "yes" : "no");
  system_of_three system(written);
  if (!system.PutConfig(system.Config(1).dump()) || !system.AwaitReady()) {
    written.Write("the system did not become ready");
    return kNotRun;
  }
  written.Write("the system is ready");
  Sleep(1500);
  std::vector<int> connections;
  std::vector<std::string> ids;
  std::map<std::string, std::int64_t> cancelled_at;
  for (int number = 0; number < kJobs; ++number) {
    char id[20];
    std::snprintf(id, sizeof(id), "7d0e7a21d94b%04x", 0x3600 + number);
    ids.emplace_back(id);
    json steps = json::array();
    for (int step = 0; step < 4; ++step) {
      json added = {{"count", 1}, {"cpu", 1600}, {"mem_mb", 64}, {"est_ms", kWorkMs}};
      if (step > 0) added["after"] = {step - 1};
      steps.push_back(added);
    }
    const json body = {
        {"spec", std::to_string(kWorkMs)}, {"best_effort", true}, {"steps", steps}};
    const int fd = Connect(system_of_three::EdgeIp(number % 3), kFrontPort);
    if (fd < 0 ||
        !SendAll(fd, Request("POST", std::string(system_of_three::kPrefix) + id,
                             system_of_three::kHost, body.dump(),
                             {{"X-Almondproxy-Deadline-Ms",
                               std::to_string(kDeadlineMs)}}))) {
      return kNotRun;
    }
    connections.push_back(fd);
    written.Write("client: POST %s sent to entry %d", id, number % 3);
  }
  Sleep(500);
  for (int number = 0; trouble && number < kJobs / kCancelled; ++number) {
    const std::string& id = ids[static_cast<std::size_t>(number)];
    const auto answer = Call(system_of_three::EdgeIp(number % 3), kFrontPort,
                             Request("DELETE", system_of_three::kPrefix + id,
                                     system_of_three::kHost, ""));
    written.Write("client: DELETE %s sent to entry %d; answer %d %s", id.c_str(), number,
                  answer ? answer->Status() : 0, answer ? answer->body.c_str() : "");
    const int status = answer ? answer->Status() : 0;
    if (status / 100 == 2 || status == 410) cancelled_at[id] = NowMs();
  }
  int answered = 0;
  for (int number = 0; number < kJobs; ++number) {
    const int fd = connections[static_cast<std::size_t>(number)];
    const auto answer = reader(fd).Next(kDeadlineMs + 1000);
    written.Write("client: answer to POST %s: %d %s",
                  ids[static_cast<std::size_t>(number)].c_str(),
                  answer ? answer->Status() : 0, answer ? answer->body.c_str() : "");
    if (answer && answer->Status() == 200) ++answered;
    close(fd);
  }
  // UNASKED: a task starts later than cancel_ms after the cancelling was
  // acknowledged, or runs on stop_ms after that.
  int broken = 0;
  for (const run_span& span : system.Book().Spans()) {
    const auto found = cancelled_at.find(span.task.substr(0, 16));
    if (found == cancelled_at.end()) continue;
    const std::int64_t limit = found->second + kCancelMs;
    const std::int64_t to = span.to < 0 ? NowMs() : span.to;
    if (span.from > limit) {
      ++broken;
      written.Write("UNASKED: %s was started %lld ms after its cancelling was acknowledged",
                    span.task.c_str(), static_cast<long long>(span.from - found->second));
    } else if (to > limit + kStopMs) {
      ++broken;
      written.Write("UNASKED: %s ran until %lld ms after its cancelling was acknowledged",
                    span.task.c_str(), static_cast<long long>(to - found->second));
    }
  }
  written.Write("%d of %d jobs complete; %d tasks worked on for cancelled jobs", answered,
                kJobs, broken);
  if (broken > 0) return kBroken;
  if (trouble) return cancelled_at.size() == kJobs / kCancelled ? kHeld : kNotRun;
  return answered == kJobs ? kHeld : kNotRun;
}
