#include "libalmond/core/log_output.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace almond {
namespace {

class log_output_fixture {
 protected:
  /// Writes a line that no other is equal to.
  void WriteLine() {
    log_.Write("line " + std::to_string(++written_) + std::string(100, '.'));
  }
  std::vector<std::string> Lines() const {
    std::vector<std::string> lines;
    std::istringstream in(taken_);
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    return lines;
  }
  /// @returns the number of lines that begin with "line "
  std::size_t WholeLines() const {
    std::size_t count = 0;
    for (const std::string& line : Lines()) {
      const std::size_t end = line.find('.');
      count += line.starts_with("line ") && line.size() == end + 100 ? 1 : 0;
    }
    return count;
  }
  /// Writes lines while nothing is taken, until one is dropped.
  void FillBuffer() {
    room_ = 0;
    while (log_.Dropped() == 0) WriteLine();
  }

  static constexpr std::size_t kUnlimited = std::size_t{1} << 30U;

  manual_clock clock_;
  std::string taken_;
  std::size_t room_ = kUnlimited;
  bool reader_gone_ = false;
  /// As a pipe takes writes of up to a page.
  bool takes_whole_writes_ = false;
  std::size_t written_ = 0;
  log_output log_{
      clock_,
      {[this](std::string_view bytes) -> std::optional<std::size_t> {
         if (reader_gone_) return std::nullopt;
         if (takes_whole_writes_ && bytes.size() > room_) return 0;
         const std::size_t size = std::min(bytes.size(), room_);
         room_ -= size;
         taken_ += bytes.substr(0, size);
         return size;
       },
       [](std::uint64_t count) { return "dropped " + std::to_string(count); }}};
};

TEST_CASE_METHOD(log_output_fixture,
                 "log output / ready / line is written at once") {
  log_.Write("a");
  CHECK(taken_ == "a\n");
}

// Guards against a buffer that grows without bound while nobody reads.
TEST_CASE_METHOD(log_output_fixture,
                 "log output / not read / buffer is bounded and lines are "
                 "counted") {
  FillBuffer();
  WriteLine();
  CHECK(log_.Dropped() == 2);
  room_ = kUnlimited;
  log_.Flush();
  CHECK(taken_.size() <= log_output::kMaxBufferedBytes + 100);
  CHECK(WholeLines() == written_ - 2);
}

// Guards against lines that are missing without the reader seeing it.
TEST_CASE_METHOD(log_output_fixture,
                 "log output / read again / number of dropped lines stands in "
                 "their place") {
  FillBuffer();
  WriteLine();
  WriteLine();
  room_ = kUnlimited;
  WriteLine();
  const auto lines = Lines();
  REQUIRE(lines.size() == written_ - 3 + 1);
  CHECK(lines[lines.size() - 2] == "dropped 3");
  CHECK(lines.back().starts_with("line " + std::to_string(written_)));
}

// Guards against a count that waits for a line that never comes.
TEST_CASE_METHOD(log_output_fixture,
                 "log output / flushed after a drop / number of dropped lines "
                 "is the last line") {
  FillBuffer();
  room_ = kUnlimited;
  log_.Flush();
  CHECK(Lines().back() == "dropped 1");
}

// Guards against lines that are cut by a write that takes part of them.
TEST_CASE_METHOD(log_output_fixture,
                 "log output / few bytes taken at a time / lines stay whole") {
  for (int i = 0; i < 50; ++i) {
    room_ = 37;
    WriteLine();
  }
  room_ = kUnlimited;
  log_.Flush();
  CHECK(WholeLines() == written_);
}

// Guards against the rest of a line at the begin of what a new reader gets.
TEST_CASE_METHOD(log_output_fixture,
                 "log output / reader gone within a line / next reader begins "
                 "with a whole line") {
  room_ = 10;
  WriteLine();
  reader_gone_ = true;
  WriteLine();
  reader_gone_ = false;
  room_ = kUnlimited;
  taken_.clear();
  log_.Flush();
  const auto lines = Lines();
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].starts_with("line 2"));
  CHECK(lines[1] == "dropped 1");
}

// Guards against chunks that other programs' lines on the same pipe can split.
TEST_CASE_METHOD(log_output_fixture,
                 "log output / many lines buffered / each write ends with a "
                 "line") {
  room_ = 0;
  for (int i = 0; i < 200; ++i) WriteLine();
  takes_whole_writes_ = true;
  room_ = 4096;
  log_.Flush();
  CHECK(WholeLines() > 0);
  CHECK(WholeLines() == Lines().size());
}

TEST_CASE_METHOD(log_output_fixture,
                 "log output / more lines than allowed in a second / rest is "
                 "dropped until the next second") {
  for (std::uint32_t i = 0; i < log_output::kMaxLinesPerSecond + 5; ++i) {
    log_.Write("a");
  }
  CHECK(log_.Dropped() == 5);
  clock_.Advance(std::chrono::seconds(1));
  log_.Write("b");
  CHECK(taken_.ends_with("dropped 5\nb\n"));
}

}  // namespace
}  // namespace almond
