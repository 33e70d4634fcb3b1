#include "libalmond/operator_commands/command_line.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <charconv>

#include "libalmond/core/uuid.h"
#include "libalmond/operator_commands/command_spec.h"

namespace almond {
namespace {

constexpr std::string_view kScheme = "http://";

std::vector<std::string> SplitCommas(std::string_view text) {
  std::vector<std::string> parts;
  while (true) {
    const std::size_t comma = text.find(',');
    parts.emplace_back(text.substr(0, comma));
    if (comma == std::string_view::npos) return parts;
    text.remove_prefix(comma + 1);
  }
}

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

// A control character in a value could add a header to a request.
bool IsPrintable(const std::string& text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
  });
}

std::string ExpectedValue(flag_type type, const std::string& value) {
  const auto urls = ParseUrls(value);
  switch (type) {
    case flag_type::none:
      return "no value";
    case flag_type::number:
      return ParseNumber(value) ? "" : "a whole number";
    case flag_type::uuid:
      return uuid::Parse(value) ? "" : "a UUID";
    case flag_type::url:
      return urls && urls->size() == 1 ? "" : "one URL http://IP:PORT";
    case flag_type::url_list:
      return urls ? "" : "URLs http://IP:PORT, separated by commas";
    default:
      return IsPrintable(value) ? "" : "a text without control characters";
  }
}

}  // namespace

std::optional<std::vector<socket_address>> ParseUrls(std::string_view text) {
  std::vector<socket_address> addresses;
  for (const std::string& part : SplitCommas(text)) {
    std::string_view url = part;
    if (!url.starts_with(kScheme)) return std::nullopt;
    url.remove_prefix(kScheme.size());
    if (url.ends_with('/')) url.remove_suffix(1);
    const auto address = socket_address::Parse(url);
    if (!address || address->port == 0) return std::nullopt;
    addresses.push_back(*address);
  }
  return addresses;
}

/// Reads the arguments one by one.
class command_line_parser {
 public:
  // Returns the error message, or an empty string if there is no error.
  std::string Read(const std::vector<std::string>& arguments) {
    std::string error = FindCommand(arguments);
    for (std::size_t i = 0; error.empty() && i < arguments.size(); ++i) {
      if (arguments[i].starts_with("--")) error = ReadFlag(arguments, i);
    }
    if (!error.empty() || line_.Has("help") || line_.Has("version")) {
      return error;
    }
    if (command_ == nullptr) return "a command is missing";
    return FindMissing();
  }

  std::string SetDefaultControl(const std::string& setting) {
    if (setting.empty() || line_.Has("control")) return "";
    if (!ParseUrls(setting)) {
      return "ALMOND_CONTROL: expected URLs http://IP:PORT, separated by "
             "commas";
    }
    line_.values_["control"] = setting;
    return "";
  }

  command_line Take() { return std::move(line_); }

 private:
  // Finds the command first, since its flags may stand before it.
  std::string FindCommand(const std::vector<std::string>& arguments) {
    std::string words;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
      const std::string& argument = arguments[i];
      if (!argument.starts_with("--")) {
        words += (words.empty() ? "" : " ") + argument;
        continue;
      }
      const std::string name = argument.substr(2, argument.find('=') - 2);
      const flag_spec* flag = FindAnywhere(name);
      if (flag == nullptr) return "unknown flag --" + name;
      const bool has_equals = argument.find('=') != std::string::npos;
      if (flag->type != flag_type::none && !has_equals) ++i;
    }
    if (words.empty()) return "";
    for (const command_spec& command : Commands()) {
      if (command.name == words) command_ = &command;
    }
    if (command_ == nullptr) return "unknown command: " + words;
    line_.command_ = words;
    return "";
  }

  static const flag_spec* FindIn(const std::vector<flag_spec>& flags,
                                 const std::string& name) {
    for (const flag_spec& flag : flags) {
      if (flag.name == name) return &flag;
    }
    return nullptr;
  }

  static const flag_spec* FindAnywhere(const std::string& name) {
    const flag_spec* found = FindIn(GlobalFlags(), name);
    for (const command_spec& command : Commands()) {
      if (found == nullptr) found = FindIn(command.flags, name);
    }
    return found;
  }

  const flag_spec* FindFlag(const std::string& name) const {
    const flag_spec* found = FindIn(GlobalFlags(), name);
    if (found != nullptr || command_ == nullptr) return found;
    return FindIn(command_->flags, name);
  }

  std::string ReadFlag(const std::vector<std::string>& arguments,
                       std::size_t& position) {
    const std::string argument = arguments[position].substr(2);
    const std::size_t equals = argument.find('=');
    const std::string name = argument.substr(0, equals);
    const flag_spec* flag = FindFlag(name);
    if (flag == nullptr) return UnknownFlag(name);
    if (flag->type == flag_type::none) {
      if (equals != std::string::npos) return "--" + name + " takes no value";
      line_.values_[name] = "";
      return "";
    }
    if (equals != std::string::npos) {
      return Store(*flag, argument.substr(equals + 1));
    }
    const std::size_t next = position + 1;
    if (next >= arguments.size() || arguments[next].starts_with("--")) {
      return "--" + name + " needs a value";
    }
    position = next;
    return Store(*flag, arguments[next]);
  }

  std::string UnknownFlag(const std::string& name) const {
    std::string message = "unknown flag --" + name;
    if (command_ != nullptr) message += " of the command " + command_->name;
    return message;
  }

  std::string Store(const flag_spec& flag, const std::string& value) {
    if (value.empty()) return "--" + flag.name + " needs a value";
    if (flag.type == flag_type::overlays) return StoreOverlays(value);
    const std::string expected = ExpectedValue(flag.type, value);
    if (!expected.empty()) {
      return "--" + flag.name + ": expected " + expected + ", not " + value;
    }
    if (!line_.values_.emplace(flag.name, value).second) {
      return "--" + flag.name + " is given twice";
    }
    return "";
  }

  std::string StoreOverlays(const std::string& value) {
    for (const std::string& part : SplitCommas(value)) {
      const std::size_t equals = part.find('=');
      if (equals == 0 || equals == std::string::npos ||
          equals + 1 == part.size()) {
        return "--overlay: expected DC=FILE, not " + part;
      }
      const std::string data_centre = part.substr(0, equals);
      if (!line_.overlays_.emplace(data_centre, part.substr(equals + 1))
               .second) {
        return "--overlay: " + data_centre + " is given twice";
      }
    }
    return "";
  }

  std::string FindMissing() const {
    for (const flag_spec& flag : command_->flags) {
      if (flag.default_value == "required" && !line_.Has(flag.name)) {
        return "the command " + command_->name + " needs --" + flag.name;
      }
    }
    return "";
  }

  command_line line_;
  const command_spec* command_ = nullptr;
};

boost::leaf::result<command_line> command_line::Parse(
    const std::vector<std::string>& arguments,
    const std::string& control_setting) {
  command_line_parser parser;
  std::string error = parser.Read(arguments);
  if (error.empty()) error = parser.SetDefaultControl(control_setting);
  if (!error.empty()) return boost::leaf::new_error(usage_error{error});
  return parser.Take();
}

std::string command_line::Text(const std::string& flag) const {
  const auto found = values_.find(flag);
  return found == values_.end() ? "" : found->second;
}

std::uint64_t command_line::Number(const std::string& flag,
                                   std::uint64_t default_value) const {
  return ParseNumber(Text(flag)).value_or(default_value);
}

std::vector<socket_address> command_line::Addresses(
    const std::string& flag) const {
  return ParseUrls(Text(flag)).value_or(std::vector<socket_address>());
}

}  // namespace almond
