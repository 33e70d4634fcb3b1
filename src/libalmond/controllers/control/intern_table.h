#ifndef ALMOND_CONTROLLERS_CONTROL_INTERN_TABLE_H_
#define ALMOND_CONTROLLERS_CONTROL_INTERN_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

namespace almond {

/// Stores each distinct value once, with a reference count, and identifies it
/// by a small index.
template <typename Value>
class intern_table {
 public:
  /// Adds a reference to the value.
  /// @returns its index, valid until each Acquire is matched by a Release
  std::uint32_t Acquire(const Value& value) {
    const auto [position, added] = indexes_.try_emplace(value, 0);
    if (added) position->second = NewRow(&position->first);
    ++rows_[position->second].reference_count;
    return position->second;
  }
  void Release(std::uint32_t index) {
    row& released = rows_[index];
    if (--released.reference_count != 0) return;
    // The key is copied because erase must not be given a reference into the
    // element that it removes.
    const Value value = *released.value;
    indexes_.erase(value);
    released.value = nullptr;
    free_.push_back(index);
  }
  const Value& At(std::uint32_t index) const { return *rows_[index].value; }
  /// @returns the number of rows, used or free; every index is below it
  std::uint32_t RowCount() const {
    return static_cast<std::uint32_t>(rows_.size());
  }
  /// @returns true if the index refers to a stored value
  bool IsUsed(std::uint32_t index) const {
    return index < rows_.size() && rows_[index].value != nullptr;
  }

 private:
  struct row {
    const Value* value = nullptr;
    std::uint32_t reference_count = 0;
  };

  std::uint32_t NewRow(const Value* value) {
    if (free_.empty()) {
      rows_.push_back({value, 0});
      return RowCount() - 1;
    }
    const std::uint32_t index = free_.back();
    free_.pop_back();
    rows_[index] = {value, 0};
    return index;
  }

  std::map<Value, std::uint32_t> indexes_;
  std::vector<row> rows_;
  std::vector<std::uint32_t> free_;
};

}  // namespace almond

#endif  // ALMOND_CONTROLLERS_CONTROL_INTERN_TABLE_H_
