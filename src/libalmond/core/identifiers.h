#ifndef ALMOND_CORE_IDENTIFIERS_H_
#define ALMOND_CORE_IDENTIFIERS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace almond {

/// A name of one kind; names of different kinds do not convert to each other.
template <typename Tag>
class name_of {
 public:
  name_of() = default;
  explicit name_of(std::string value) : value_(std::move(value)) {}
  const std::string& Value() const { return value_; }
  bool Empty() const { return value_.empty(); }
  auto operator<=>(const name_of&) const = default;

 private:
  std::string value_;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const name_of<Tag>& name) {
  return out << name.Value();
}

/// A number of one kind; numbers of different kinds do not convert.
template <typename Tag>
class number_of {
 public:
  constexpr number_of() = default;
  constexpr explicit number_of(std::uint64_t value) : value_(value) {}
  constexpr std::uint64_t Value() const { return value_; }
  constexpr number_of Next() const { return number_of(value_ + 1); }
  constexpr auto operator<=>(const number_of&) const = default;

 private:
  std::uint64_t value_ = 0;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const number_of<Tag>& number) {
  return out << number.Value();
}

using agent_id = name_of<struct agent_tag>;
using entry_id = name_of<struct entry_tag>;
using service_id = name_of<struct service_tag>;
using team_id = name_of<struct team_tag>;
using data_centre_id = name_of<struct data_centre_tag>;
/// Value of the Almond-Kind header; selects a rule of the service.
using request_kind = name_of<struct request_kind_tag>;

/// One run of a process; a restarted process has another.
using incarnation_id = number_of<struct incarnation_tag>;
/// Names one grant of a slot; unique within an agent's incarnation.
using grant_id = number_of<struct grant_tag>;
/// Owner epoch of a submission, raised when another entry takes it over.
using owner_epoch = number_of<struct owner_epoch_tag>;
/// Version of the accepted configuration, counted from 1; 0 means none.
using config_version = number_of<struct config_version_tag>;
/// Names one connection within a process.
using link_id = number_of<struct link_tag>;

}  // namespace almond

template <typename Tag>
struct std::hash<almond::name_of<Tag>> {
  std::size_t operator()(const almond::name_of<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.Value());
  }
};

template <typename Tag>
struct std::hash<almond::number_of<Tag>> {
  std::size_t operator()(const almond::number_of<Tag>& number) const noexcept {
    return std::hash<std::uint64_t>{}(number.Value());
  }
};

#endif  // ALMOND_CORE_IDENTIFIERS_H_
