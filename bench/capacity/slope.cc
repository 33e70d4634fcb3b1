#include "bench/capacity/slope.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace almond::bench {
namespace {

std::chrono::nanoseconds ProcessorTime() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double Microseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

}  // namespace

fitted_line FitLine(const std::vector<double>& sizes,
                    const std::vector<double>& values) {
  const auto count = static_cast<double>(sizes.size());
  double x = 0;
  double y = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    x += sizes[i] / count;
    y += values[i] / count;
  }
  double xy = 0;
  double xx = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    xy += (sizes[i] - x) * (values[i] - y);
    xx += (sizes[i] - x) * (sizes[i] - x);
  }
  const double slope = xy / xx;
  return {y - slope * x, slope};
}

double Median(std::vector<double> values) {
  std::ranges::sort(values);
  const std::size_t middle = values.size() / 2;
  if (values.size() % 2 == 1) return values[middle];
  return (values[middle - 1] + values[middle]) / 2;
}

cost_meter::cost_meter() : processor_(ProcessorTime()), heap_(HeapBytes()) {}

measurement cost_meter::Read() const {
  return {ProcessorTime() - processor_,
          static_cast<double>(HeapBytes()) - static_cast<double>(heap_)};
}

void PrintSlope(const std::string& title, const std::vector<std::size_t>& sizes,
                std::size_t repeats,
                const std::function<measurement(std::size_t)>& run) {
  std::printf("%s\n  %12s %14s %14s %14s\n", title.c_str(), "size", "cpu us",
              "cpu us low", "bytes");
  std::vector<double> sizes_measured;
  std::vector<double> microseconds;
  std::vector<double> bytes;
  for (const std::size_t size : sizes) {
    std::vector<double> times;
    std::vector<double> held;
    for (std::size_t i = 0; i < repeats; ++i) {
      const measurement cost = run(size);
      times.push_back(Microseconds(cost.processor));
      held.push_back(cost.bytes);
    }
    sizes_measured.push_back(static_cast<double>(size));
    microseconds.push_back(Median(times));
    bytes.push_back(Median(held));
    std::printf("  %12zu %14.3f %14.3f %14.0f\n", size, microseconds.back(),
                *std::ranges::min_element(times), bytes.back());
  }
  const fitted_line time_line = FitLine(sizes_measured, microseconds);
  const fitted_line byte_line = FitLine(sizes_measured, bytes);
  std::printf("  %12s %14.3f %14s %14.0f\n", "intercept", time_line.intercept,
              "", byte_line.intercept);
  std::printf("  %12s %14.5f %14s %14.2f\n\n", "slope", time_line.slope, "",
              byte_line.slope);
  std::fflush(stdout);
}

}  // namespace almond::bench
