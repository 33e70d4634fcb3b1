#include "libalmond/processes/link_codecs.h"

#include "libalmond/wire/dispatch_codec.h"
#include "libalmond/wire/run_codec.h"

namespace almond {

frame slot_link_codec::Encode(const from_agent& message) {
  return EncodeAgentMessage(message);
}
frame slot_link_codec::Encode(const from_entry& message) {
  return EncodeEntryMessage(message);
}
std::optional<agent_message> slot_link_codec::DecodeFromAgent(
    const frame& encoded) {
  return DecodeAgentMessage(encoded);
}
std::optional<entry_message> slot_link_codec::DecodeFromEntry(
    const frame& encoded) {
  return DecodeEntryMessage(encoded);
}
bool slot_link_codec::IsAnnouncement(const from_agent& message) {
  return std::holds_alternative<announce_message>(message);
}

frame run_link_codec::Encode(const from_agent& message) {
  return EncodeAgentRunMessage(message);
}
frame run_link_codec::Encode(const from_entry& message) {
  return EncodeEntryRunMessage(message);
}
std::optional<agent_run_message> run_link_codec::DecodeFromAgent(
    const frame& encoded) {
  return DecodeAgentRunMessage(encoded);
}
std::optional<entry_run_message> run_link_codec::DecodeFromEntry(
    const frame& encoded) {
  return DecodeEntryRunMessage(encoded);
}
bool run_link_codec::IsAnnouncement(const from_agent& message) {
  return std::holds_alternative<endpoint_state>(message);
}

}  // namespace almond
