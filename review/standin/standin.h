// Shared parts of the stand-ins for the review's scripts.
#ifndef REVIEW_STANDIN_H_
#define REVIEW_STANDIN_H_

#include <fcntl.h>
#include <time.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace review {

// Figures of the small deployment's settings.
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kHoldMaxMs = 1000;
constexpr std::int64_t kStopMs = 30;  // the page's bound is 50
constexpr std::int64_t kResendMs = 1300;

/// @returns milliseconds of the monotonic clock, which all processes share
inline std::int64_t NowMs() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

inline std::int64_t WallMs() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/// Arguments of the form --name=value.
class options {
 public:
  options(int count, char** arguments) {
    for (int i = 2; i < count; ++i) {
      const std::string text = arguments[i];
      const std::size_t equals = text.find('=');
      if (text.rfind("--", 0) != 0 || equals == std::string::npos) {
        std::cerr << "unexpected argument " << text << "\n";
        std::exit(2);
      }
      values_[text.substr(2, equals - 2)] = text.substr(equals + 1);
    }
  }
  std::string Text(const std::string& name) const {
    const auto found = values_.find(name);
    return found == values_.end() ? "" : found->second;
  }
  std::int64_t Number(const std::string& name) const {
    return std::atoll(Text(name).c_str());
  }

 private:
  std::map<std::string, std::string> values_;
};

/// Appends lines of JSON to a file that several processes write.
class record {
 public:
  explicit record(const std::string& path)
      : descriptor_(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644)) {}
  void Write(nlohmann::json fields) const {
    fields["t"] = NowMs();
    const std::string line = fields.dump() + "\n";
    if (write(descriptor_, line.data(), line.size()) < 0) std::exit(2);
  }

 private:
  int descriptor_;
};

int RunMinion(const options& given);
int RunClients(const options& given);
int RunOperator(const options& given);
int RunCheck(const options& given);

}  // namespace review

#endif  // REVIEW_STANDIN_H_
