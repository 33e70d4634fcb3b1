#ifndef ALMOND_CONTROLLERS_CONTROL_INTERN_TABLE_H_
#define ALMOND_CONTROLLERS_CONTROL_INTERN_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

namespace almond {

/// Holds each of many repeated values once, counted by its users, and names it
/// by a small index.
template <typename Value>
class intern_table {
 public:
  /// Adds a user of the value.
  /// @returns its index, valid until as many Release calls
  std::uint32_t Acquire(const Value& value) {
    const auto [position, added] = indexes_.try_emplace(value, 0);
    if (added) position->second = NewRow(&position->first);
    ++rows_[position->second].users;
    return position->second;
  }
  void Release(std::uint32_t index) {
    row& released = rows_[index];
    if (--released.users != 0) return;
    // The key is copied, since erase may not be given a reference into the
    // element that it removes.
    const Value value = *released.value;
    indexes_.erase(value);
    released.value = nullptr;
    free_.push_back(index);
  }
  const Value& At(std::uint32_t index) const { return *rows_[index].value; }
  /// @returns one more than the largest index in use
  std::uint32_t Rows() const {
    return static_cast<std::uint32_t>(rows_.size());
  }
  /// @returns true if the index names a value
  bool Used(std::uint32_t index) const {
    return index < rows_.size() && rows_[index].value != nullptr;
  }

 private:
  struct row {
    const Value* value = nullptr;
    std::uint32_t users = 0;
  };

  std::uint32_t NewRow(const Value* value) {
    if (free_.empty()) {
      rows_.push_back({value, 0});
      return Rows() - 1;
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
