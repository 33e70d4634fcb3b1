#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "libalmond/operator_commands/almondctl.h"

namespace {

std::optional<std::string> ReadFile(const std::string& name) {
  std::ostringstream text;
  if (name == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream file(name, std::ios::binary);
  // A directory can be opened, but not read.
  if (!file || (file.peek(), file.bad())) return std::nullopt;
  if (!file.eof()) text << file.rdbuf();
  return text.str();
}

}  // namespace

int main(int argc, char** argv) {
  almond::event_loop loop;
  const almond::system_clock clock;
  std::random_device seed;
  std::seed_seq seeds{seed(), seed(), seed(), seed()};
  std::mt19937_64 random(seeds);
  const char* control = std::getenv("ALMOND_CONTROL");
  const almond::operator_context context = {loop,
                                            clock,
                                            random,
                                            std::cout,
                                            std::cerr,
                                            ReadFile,
                                            control == nullptr ? "" : control};
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(almond::RunAlmondctl(arguments, context));
}
