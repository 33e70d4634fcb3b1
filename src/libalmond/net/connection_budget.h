#ifndef ALMOND_NET_CONNECTION_BUDGET_H_
#define ALMOND_NET_CONNECTION_BUDGET_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "libalmond/net/input_limits.h"

namespace almond {

/// Why a connection was closed or a request refused to protect the process.
/// The names are label values of a counter.
enum class input_refusal : std::uint8_t {
  connections,  ///< closed to make room for a newer connection
  memory,       ///< closed to free the memory that it held
  overloaded,   ///< the request was answered with 503 before it was handled
  slow,         ///< the request did not arrive in time
  unfinished    ///< closed before the request was handled: malformed, too large
                ///< or left by the client
};

/// @returns the name in kebab case
std::string_view Name(input_refusal reason);

/// Kinds of listeners, each with a limit of its own on its connections.
enum class listener_kind : std::uint8_t {
  main,   ///< for callers or endpoints
  probe,  ///< for monitoring, operators or replicas
  peer,   ///< of an entry, for agents
  member  ///< of a control process, for entries and agents
};

/// Records what the connections of a process hold, and decides which of them
/// are closed once a limit is exceeded.
class connection_budget {
 public:
  /// Time after the accept within which a client that sends its request at once
  /// is answered.
  static constexpr milliseconds kFirstRequestTimeout{1000};

  using connection_number = std::uint64_t;
  using listener_number = std::uint64_t;

  /// Closes a connection, which the budget removes after the call.
  using close_hook = std::function<void(connection_number)>;
  using refusal_hook = std::function<void(input_refusal)>;

  /// @param clock outlives the budget
  /// @param on_refused called for each refusal
  connection_budget(const clock_interface& clock, const input_limits& limits,
                    refusal_hook on_refused);

  const input_limits& Limits() const { return limits_; }
  listener_number AddListener(listener_kind kind, close_hook close);
  /// Also removes the listener's connections.
  void RemoveListener(listener_number listener);
  /// @returns true if the listener has as many connections as it may have
  bool Full(listener_number listener) const;

  connection_number Add(listener_number listener);
  void Remove(connection_number number);
  // The following have no effect once the connection or its listener is
  // removed.

  /// @param held bytes that the connection holds now
  void SetHeld(connection_number number, std::size_t held);
  /// Call when the first byte of a request has arrived.
  void OnReceiving(connection_number number);
  /// Call when a request is passed to its handler. The connection is not closed
  /// until OnAnswer.
  void OnRequest(connection_number number);
  /// Call when a request is answered.
  void OnAnswer(connection_number number);
  /// Call when an answer has been sent.
  void OnSent(connection_number number);

  /// @returns true if all connections together hold more than they may
  bool HoldsTooMuch() const { return held_ > limits_.max_held_bytes; }
  /// Closes connections until all limits are kept, or until only connections
  /// are left whose request is in progress.
  void Enforce();
  /// Closes connections whose request has not arrived in time.
  void CloseOverdue();
  void Count(input_refusal reason) const { on_refused_(reason); }

 private:
  struct listener_state {
    std::size_t max_connections = 0;
    std::size_t connections = 0;
    close_hook close;
  };
  struct connection {
    listener_number owner = 0;
    std::size_t held = 0;
    bool in_progress = false;
    bool answered = false;  ///< at least once
    /// Time of the accept, or at which the last answer was sent.
    steady_time progress;
    std::optional<steady_time> receiving_since;
  };

  connection* Find(connection_number number);
  /// @returns the connection without a request in progress that holds most;
  ///   of equal ones, the one with the oldest progress
  std::optional<connection_number> LargestHolder() const;
  /// @returns the connection without a request in progress that is closed
  ///   first: one that was not answered within kFirstRequestTimeout, then one
  ///   that was answered, then a new one; of these the one with the oldest
  ///   progress
  std::optional<connection_number> LeastUseful(listener_number owner) const;
  /// @returns false if there was nothing to close
  bool Close(std::optional<connection_number> chosen, input_refusal reason);

  const clock_interface& clock_;
  const input_limits limits_;
  refusal_hook on_refused_;
  std::map<listener_number, listener_state> listeners_;
  std::map<connection_number, connection> connections_;
  std::size_t held_ = 0;
  std::uint64_t last_number_ = 0;
};

}  // namespace almond

#endif  // ALMOND_NET_CONNECTION_BUDGET_H_
