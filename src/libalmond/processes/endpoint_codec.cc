#include "libalmond/processes/endpoint_codec.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "libalmond/core/json_text.h"

namespace almond {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxSlots = 4096;
constexpr std::size_t kMaxServiceLength = 128;
constexpr std::string_view kUrlPrefix = "http://";

/// Parses the fields of one announcement and keeps the first error.
class announcement_reader {
 public:
  explicit announcement_reader(const json& object) : object_(object) {}

  service_id Service() {
    std::string name = Text("service");
    if (name.empty() || name.size() > kMaxServiceLength) {
      Fail("service: expected a text of 1 to 128 bytes");
    }
    return service_id(std::move(name));
  }

  socket_address Url() {
    std::string url = Text("url");
    std::optional<socket_address> address;
    if (url.rfind(kUrlPrefix, 0) == 0) {
      url.erase(0, kUrlPrefix.size());
      if (!url.empty() && url.back() == '/') url.pop_back();
      address = socket_address::Parse(url);
    }
    if (!address || address->port == 0) {
      Fail("url: expected http://IP:PORT");
      return {};
    }
    return *address;
  }

  std::uint32_t Slots() {
    if (!object_.contains("slots")) Fail("slots: missing");
    const std::uint32_t slots = Count("slots", kMaxSlots);
    if (slots == 0) Fail("slots: expected a whole number from 1 to 4096");
    return slots;
  }

  std::uint32_t Count(const std::string& key, std::uint32_t maximum) {
    if (!object_.contains(key)) return 0;
    const json& field = object_[key];
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > maximum) {
      Fail(key + ": expected a whole number up to " + std::to_string(maximum));
      return 0;
    }
    return field.get<std::uint32_t>();
  }

  endpoint_controls Controls() {
    endpoint_controls controls;
    if (!object_.contains("controls")) return controls;
    const json& list = object_["controls"];
    if (!list.is_array()) {
      Fail("controls: expected a list of texts");
      return controls;
    }
    bool pause = false;
    bool resume = false;
    for (const json& item : list) {
      const std::string name =
          item.is_string() ? item.get<std::string>() : std::string();
      pause = pause || name == "pause";
      resume = resume || name == "resume";
      controls.checkpoint = controls.checkpoint || name == "checkpoint";
      controls.stop = controls.stop || name == "stop";
      if (name != "pause" && name != "resume" && name != "checkpoint" &&
          name != "stop") {
        Fail("controls: expected only pause, resume, checkpoint and stop");
      }
    }
    // A task that cannot be resumed must not be paused.
    controls.pause = pause && resume;
    return controls;
  }

  const std::string& Fault() const { return fault_; }

 private:
  std::string Text(const char* key) const {
    if (!object_.contains(key) || !object_[key].is_string()) return {};
    return object_[key].get<std::string>();
  }
  void Fail(const std::string& fault) {
    if (fault_.empty()) fault_ = fault;
  }

  const json& object_;
  std::string fault_;
};

}  // namespace

std::variant<endpoint_announcement, refusal> ParseEndpointAnnouncement(
    const std::string& body) {
  const json object = ParseJson(body);
  if (!object.is_object()) {
    return refusal{refusal_reason::bad_json, run_outcome::not_run,
                   "body: expected a JSON object"};
  }
  announcement_reader reader(object);
  endpoint_announcement result;
  result.service = reader.Service();
  result.address = reader.Url();
  result.slots = reader.Slots();
  result.cpu_milli = reader.Count("cpu_milli", INT32_MAX);
  result.memory_mib = reader.Count("memory_mib", INT32_MAX);
  result.controls = reader.Controls();
  if (!reader.Fault().empty()) {
    return refusal{refusal_reason::bad_request, run_outcome::not_run,
                   reader.Fault()};
  }
  return result;
}

start_outcome StartOutcome(const http_call_result& result) {
  switch (result.outcome) {
    case http_call_outcome::not_sent:
      return start_outcome::not_sent;
    case http_call_outcome::lost:
      return start_outcome::lost;
    case http_call_outcome::answered:
      break;
  }
  if (result.response.status == 200) return start_outcome::done;
  const std::string outcome =
      HeaderValue(result.response.headers, "Almond-Outcome");
  if (result.response.status == 503 && outcome == "not-run") {
    return start_outcome::refused;
  }
  return start_outcome::failed;
}

task_control_result ControlResult(task_control control,
                                  const http_call_result& result) {
  const bool resume = control == task_control::resume;
  if (result.outcome == http_call_outcome::not_sent) {
    // The task's state is unchanged: paused if the operation is a resume,
    // otherwise running.
    return resume ? task_control_result::failed : task_control_result::rejected;
  }
  if (result.outcome == http_call_outcome::lost) {
    return task_control_result::failed;
  }
  const int status = result.response.status;
  if (status >= 200 && status < 300) return task_control_result::done;
  // 404: the task does not exist; 409: it is not in the required state.
  if (resume) {
    return status == 404 || status == 409 ? task_control_result::rejected
                                          : task_control_result::failed;
  }
  return (status >= 400 && status < 500) || status == 501 || status == 503
             ? task_control_result::rejected
             : task_control_result::failed;
}

}  // namespace almond
