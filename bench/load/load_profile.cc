#include "load_profile.h"

#include <sstream>

namespace almond {
namespace {

/// Parses a non-negative number at the start of the text.
/// @param rest set to the text after the number
std::optional<double> ReadNumber(const std::string& text, std::string& rest) {
  std::istringstream input(text);
  double value = 0;
  if (!(input >> value) || value < 0) return std::nullopt;
  rest.clear();
  input >> rest;
  return value;
}

std::optional<load_step> ParseStep(const std::string& text, double base_rate) {
  constexpr double kMillisPerSecond = 1000;
  const std::size_t colon = text.find(':');
  if (colon == std::string::npos) return std::nullopt;
  std::string unit;
  const auto length = ReadNumber(text.substr(0, colon), unit);
  if (!length || (unit != "s" && unit != "ms")) return std::nullopt;
  const double millis = unit == "s" ? *length * kMillisPerSecond : *length;
  const auto rate = ReadNumber(text.substr(colon + 1), unit);
  if (!rate || (!unit.empty() && unit != "x")) return std::nullopt;
  load_step step;
  step.length = milliseconds(static_cast<std::int64_t>(millis));
  step.rate = unit == "x" ? *rate * base_rate : *rate;
  return step;
}

}  // namespace

std::optional<std::vector<load_step>> ParseProfile(const std::string& text,
                                                   double base_rate) {
  std::vector<load_step> steps;
  std::istringstream input(text);
  std::string part;
  while (std::getline(input, part, ',')) {
    const auto step = ParseStep(part, base_rate);
    if (!step) return std::nullopt;
    steps.push_back(*step);
  }
  if (steps.empty()) return std::nullopt;
  return steps;
}

}  // namespace almond
