#include "libalmond/operator_commands/line_diff.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace almond {
namespace {

constexpr std::size_t kContextLines = 3;
// Cells of the comparison table, 4 bytes each. Larger texts are shown as
// replaced completely between their common first and last lines.
constexpr std::size_t kMaxCells = 4'000'000;

using lines = std::vector<std::string_view>;

struct edit {
  char mark;  // ' ', '-' or '+'
  std::string_view line;
};

lines Split(std::string_view text) {
  lines result;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    result.push_back(text.substr(0, end));
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return result;
}

void AppendAll(std::vector<edit>& edits, char mark, const lines& all,
               std::size_t from, std::size_t to) {
  for (std::size_t i = from; i < to; ++i) edits.push_back({mark, all[i]});
}

// Appends the edits between two texts, found by their longest common
// subsequence. Above kMaxCells all the lines given are shown as replaced.
void AppendEdits(std::vector<edit>& edits, const lines& before,
                 const lines& after) {
  const std::size_t columns = after.size() + 1;
  if ((before.size() + 1) * columns > kMaxCells) {
    AppendAll(edits, '-', before, 0, before.size());
    AppendAll(edits, '+', after, 0, after.size());
    return;
  }
  std::vector<std::uint32_t> common((before.size() + 1) * columns, 0);
  for (std::size_t i = before.size(); i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      common[i * columns + j] = before[i] == after[j]
                                    ? common[(i + 1) * columns + j + 1] + 1
                                    : std::max(common[(i + 1) * columns + j],
                                               common[i * columns + j + 1]);
    }
  }
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() && j < after.size()) {
    if (before[i] == after[j]) {
      edits.push_back({' ', before[i++]});
      ++j;
    } else if (common[(i + 1) * columns + j] >= common[i * columns + j + 1]) {
      edits.push_back({'-', before[i++]});
    } else {
      edits.push_back({'+', after[j++]});
    }
  }
  AppendAll(edits, '-', before, i, before.size());
  AppendAll(edits, '+', after, j, after.size());
}

std::vector<edit> Edits(const lines& before, const lines& after) {
  const std::size_t shorter = std::min(before.size(), after.size());
  std::size_t head = 0;
  while (head < shorter && before[head] == after[head]) ++head;
  std::size_t tail = 0;
  while (tail < shorter - head &&
         before[before.size() - 1 - tail] == after[after.size() - 1 - tail]) {
    ++tail;
  }
  std::vector<edit> edits;
  AppendAll(edits, ' ', before, 0, head);
  const auto middle = [&](const lines& all) {
    return lines(all.begin() + static_cast<std::ptrdiff_t>(head),
                 all.end() - static_cast<std::ptrdiff_t>(tail));
  };
  AppendEdits(edits, middle(before), middle(after));
  AppendAll(edits, ' ', before, before.size() - tail, before.size());
  return edits;
}

// Marks the lines within the context of a change.
std::vector<bool> Shown(const std::vector<edit>& edits) {
  std::vector<bool> shown(edits.size(), false);
  for (std::size_t i = 0; i < edits.size(); ++i) {
    if (edits[i].mark == ' ') continue;
    const std::size_t from = i < kContextLines ? 0 : i - kContextLines;
    const std::size_t to = std::min(edits.size(), i + kContextLines + 1);
    for (std::size_t j = from; j < to; ++j) shown[j] = true;
  }
  return shown;
}

std::string Range(std::size_t lines_before, std::size_t count) {
  // An empty range gives the number of the line before it.
  const std::size_t first = count == 0 ? lines_before : lines_before + 1;
  return std::to_string(first) +
         (count == 1 ? "" : "," + std::to_string(count));
}

}  // namespace

std::string UnifiedDiff(const std::string& old_text,
                        const std::string& new_text,
                        const std::string& old_name,
                        const std::string& new_name) {
  if (old_text == new_text) return "";
  const std::vector<edit> edits = Edits(Split(old_text), Split(new_text));
  const std::vector<bool> shown = Shown(edits);
  std::string text = "--- " + old_name + "\n+++ " + new_name + "\n";
  std::size_t old_line = 0;
  std::size_t new_line = 0;
  for (std::size_t i = 0; i < edits.size();) {
    if (!shown[i]) {
      ++old_line;
      ++new_line;
      ++i;
      continue;
    }
    std::string body;
    std::size_t old_count = 0;
    std::size_t new_count = 0;
    for (; i < edits.size() && shown[i]; ++i) {
      if (edits[i].mark != '+') ++old_count;
      if (edits[i].mark != '-') ++new_count;
      body.append(1, edits[i].mark).append(edits[i].line).append("\n");
    }
    text += "@@ -" + Range(old_line, old_count) + " +" +
            Range(new_line, new_count) + " @@\n" + body;
    old_line += old_count;
    new_line += new_count;
  }
  return text;
}

}  // namespace almond
