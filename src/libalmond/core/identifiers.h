#ifndef ALMOND_CORE_IDENTIFIERS_H_
#define ALMOND_CORE_IDENTIFIERS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace almond {

/// A string identifier. Each tag gives a type of its own, so that identifiers
/// of different kinds do not convert to each other.
template <typename Tag>
class typed_name {
 public:
  typed_name() = default;
  explicit typed_name(std::string value) : value_(std::move(value)) {}
  const std::string& Value() const { return value_; }
  bool Empty() const { return value_.empty(); }
  auto operator<=>(const typed_name&) const = default;

 private:
  std::string value_;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const typed_name<Tag>& name) {
  return out << name.Value();
}

/// A numeric identifier. Each tag gives a type of its own.
template <typename Tag>
class typed_number {
 public:
  constexpr typed_number() = default;
  constexpr explicit typed_number(std::uint64_t value) : value_(value) {}
  constexpr std::uint64_t Value() const { return value_; }
  constexpr typed_number Next() const { return typed_number(value_ + 1); }
  constexpr auto operator<=>(const typed_number&) const = default;

 private:
  std::uint64_t value_ = 0;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const typed_number<Tag>& number) {
  return out << number.Value();
}

using agent_id = typed_name<struct agent_tag>;
using entry_id = typed_name<struct entry_tag>;
using service_id = typed_name<struct service_tag>;
using team_id = typed_name<struct team_tag>;
using data_centre_id = typed_name<struct data_centre_tag>;
/// Value of the Almond-Kind header; selects a rule of the service.
using request_kind = typed_name<struct request_kind_tag>;

/// Identifies one run of a process; a restart gives a new one.
using incarnation_id = typed_number<struct incarnation_tag>;
/// Identifies one grant of a slot; unique within an agent's incarnation.
using grant_id = typed_number<struct grant_tag>;
/// Ownership epoch of a submission; incremented when another entry takes over.
using owner_epoch = typed_number<struct owner_epoch_tag>;
/// Version of an accepted configuration, from 1; 0 if there is none.
using config_version = typed_number<struct config_version_tag>;
/// Identifies one connection within a process.
using link_id = typed_number<struct link_tag>;

}  // namespace almond

template <typename Tag>
struct std::hash<almond::typed_name<Tag>> {
  std::size_t operator()(const almond::typed_name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.Value());
  }
};

template <typename Tag>
struct std::hash<almond::typed_number<Tag>> {
  std::size_t operator()(
      const almond::typed_number<Tag>& number) const noexcept {
    return std::hash<std::uint64_t>{}(number.Value());
  }
};

#endif  // ALMOND_CORE_IDENTIFIERS_H_
