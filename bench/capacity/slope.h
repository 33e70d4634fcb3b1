#ifndef ALMOND_BENCH_CAPACITY_SLOPE_H_
#define ALMOND_BENCH_CAPACITY_SLOPE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace almond::bench {

/// A straight line through measured points.
struct fitted_line {
  double intercept = 0;
  double slope = 0;
};

/// Fits a line by least squares.
/// @param sizes at least two different values
/// @param values one for each size
fitted_line FitLine(const std::vector<double>& sizes,
                    const std::vector<double>& values);

/// @param values at least one
double Median(std::vector<double> values);

/// Measured cost of one run.
struct measurement {
  std::chrono::nanoseconds processor{0};
  double bytes = 0;  ///< allocated heap memory, or size of a message
};

/// Measures processor time and heap memory of the process since construction.
class cost_meter {
 public:
  cost_meter();
  /// @returns processor time of all threads and growth of the heap since
  ///   construction
  measurement Read() const;

 private:
  std::chrono::nanoseconds processor_;
  std::size_t heap_ = 0;
};

/// Measures a cost at several sizes and prints the medians and the fitted line.
/// @param title what is measured, and the unit of size
/// @param sizes three or more
/// @param repeats runs of each size
/// @param run measures one run at a size
void PrintSlope(const std::string& title, const std::vector<std::size_t>& sizes,
                std::size_t repeats,
                const std::function<measurement(std::size_t)>& run);

}  // namespace almond::bench

#endif  // ALMOND_BENCH_CAPACITY_SLOPE_H_
