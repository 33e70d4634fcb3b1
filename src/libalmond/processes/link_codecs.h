#ifndef ALMOND_PROCESSES_LINK_CODECS_H_
#define ALMOND_PROCESSES_LINK_CODECS_H_

#include <optional>

#include "libalmond/core/dispatch_messages.h"
#include "libalmond/core/frame.h"
#include "libalmond/core/run_messages.h"

namespace almond {

/// Codec of the messages between entries and agents that grant slots.
struct slot_link_codec {
  using from_agent = agent_message;
  using from_entry = entry_message;
  static frame Encode(const from_agent& message);
  static frame Encode(const from_entry& message);
  static std::optional<from_agent> DecodeFromAgent(const frame& encoded);
  static std::optional<from_entry> DecodeFromEntry(const frame& encoded);
  /// @returns true for the message with which an agent announces itself
  static bool IsAnnouncement(const from_agent& message);
};

/// Codec of the messages between entries and agents that account for resources.
struct run_link_codec {
  using from_agent = agent_run_message;
  using from_entry = entry_run_message;
  static frame Encode(const from_agent& message);
  static frame Encode(const from_entry& message);
  static std::optional<from_agent> DecodeFromAgent(const frame& encoded);
  static std::optional<from_entry> DecodeFromEntry(const frame& encoded);
  static bool IsAnnouncement(const from_agent& message);
};

}  // namespace almond

#endif  // ALMOND_PROCESSES_LINK_CODECS_H_
