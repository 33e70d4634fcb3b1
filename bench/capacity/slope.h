#ifndef ALMOND_BENCH_CAPACITY_SLOPE_H_
#define ALMOND_BENCH_CAPACITY_SLOPE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace almond::bench {

/// A straight line through measured points.
struct line {
  double intercept = 0;
  double slope = 0;
};

/// @param sizes at least two different values
/// @param values one for each size
/// @returns the line of least squares
line FitLine(const std::vector<double>& sizes,
             const std::vector<double>& values);

/// @param values at least one
double Median(std::vector<double> values);

/// Cost of one run.
struct reading {
  std::chrono::nanoseconds processor{0};
  double bytes = 0;  ///< heap memory that is still held, or bytes of a message
};

/// Processor time of the process and heap memory since its construction.
class meter {
 public:
  meter();
  /// @returns processor time of all threads and bytes allocated since then
  reading Read() const;

 private:
  std::chrono::nanoseconds processor_;
  std::size_t heap_ = 0;
};

/// Measures a cost at some sizes and prints the medians and the line.
/// @param title what is measured, with what one step of size is
/// @param sizes three or more
/// @param repeats runs of each size
/// @param run measures one run of a size
void PrintSlope(const std::string& title, const std::vector<std::size_t>& sizes,
                std::size_t repeats,
                const std::function<reading(std::size_t)>& run);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_CAPACITY_SLOPE_H_
