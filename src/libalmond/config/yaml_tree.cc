#include "libalmond/config/yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <sstream>
#include <stdexcept>
#include <utility>

#include "libalmond/config/config_limits.h"
#include "libalmond/config/text_check.h"

namespace almond {
namespace {

std::string LineKey(int line) { return "line " + std::to_string(line); }

// Thrown from a callback of yaml-cpp to abort parsing.
class parse_aborted : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Builds the tree from the events of the parser.
class tree_builder final : public YAML::EventHandler {
 public:
  tree_builder(std::string file, std::vector<config_error>& errors)
      : file_(std::move(file)), errors_(errors) {}

  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    BeginValue(mark, anchor, "", yaml_value::type::null);
    EndValue();
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    BeginValue(mark, anchor, "", yaml_value::type::null);
    EndValue();
  }
  void OnScalar(const YAML::Mark& mark, const std::string& tag,
                YAML::anchor_t anchor, const std::string& value) override {
    BeginValue(mark, anchor, tag, yaml_value::type::scalar);
    open_.back().text = value;
    open_.back().quoted = tag == "!";
    const bool null_word = value == "~" || value == "null";
    if (null_word && tag != "!") open_.back().kind = yaml_value::type::null;
    EndValue();
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    BeginValue(mark, anchor, tag, yaml_value::type::sequence);
  }
  void OnSequenceEnd() override { EndValue(); }
  void OnMapStart(const YAML::Mark& mark, const std::string& tag,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    BeginValue(mark, anchor, tag, yaml_value::type::mapping);
  }
  void OnMapEnd() override { EndValue(); }

  yaml_value Take() { return std::move(root_); }

 private:
  void BeginValue(const YAML::Mark& mark, YAML::anchor_t anchor,
                  const std::string& tag, yaml_value::type kind) {
    const std::string line = LineKey(mark.line + 1);
    if (anchor != 0) {
      errors_.push_back({file_, line, "no anchor or alias"});
    }
    if (!tag.empty() && tag != "?" && tag != "!") {
      errors_.push_back({file_, line, "no tag"});
    }
    if (open_.size() >= kMaxYamlDepth) {
      errors_.push_back(
          {file_, line,
           "at most " + std::to_string(kMaxYamlDepth) + " nested levels"});
      throw parse_aborted("depth");
    }
    open_.emplace_back();
    open_.back().kind = kind;
    open_.back().line = mark.line + 1;
    keys_.emplace_back();
  }

  void EndValue() {
    yaml_value value = std::move(open_.back());
    open_.pop_back();
    keys_.pop_back();
    if (open_.empty()) {
      root_ = std::move(value);
    } else if (open_.back().kind == yaml_value::type::sequence) {
      open_.back().items.push_back(std::move(value));
    } else if (keys_.back().empty()) {
      AddKey(std::move(value));
    } else {
      open_.back().fields.push_back(
          {std::move(keys_.back().front()), std::move(value)});
      keys_.back().clear();
    }
  }

  void AddKey(yaml_value key) {
    if (key.kind != yaml_value::type::scalar) {
      errors_.push_back({file_, LineKey(key.line), "a name as the key"});
      key.text = "?";
    }
    keys_.back().push_back(std::move(key.text));
  }

  std::string file_;
  std::vector<config_error>& errors_;
  yaml_value root_;
  std::vector<yaml_value> open_;
  // For each open value, the key that has no value yet; at most one.
  std::vector<std::vector<std::string>> keys_;
};

}  // namespace

yaml_value ParseYaml(const std::string& text, const std::string& file,
                     std::vector<config_error>& errors) {
  if (!CheckText(text, file, errors)) return {};
  const std::size_t before = errors.size();
  tree_builder builder(file, errors);
  try {
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    parser.HandleNextDocument(builder);
    yaml_value root = builder.Take();
    tree_builder next(file, errors);
    if (parser.HandleNextDocument(next)) {
      errors.push_back({file, "", "one YAML document"});
    }
    if (errors.size() != before) return {};
    if (root.kind == yaml_value::type::null) {
      errors.push_back({file, "", "a mapping; the file is empty"});
    }
    return root;
  } catch (const parse_aborted&) {
    // The error is already in the list.
  } catch (const YAML::Exception& error) {
    errors.push_back(
        {file, LineKey(error.mark.line + 1), "valid YAML: " + error.msg});
  } catch (const std::exception& error) {
    errors.push_back({file, "", std::string("valid YAML: ") + error.what()});
  }
  return {};
}

}  // namespace almond
