#ifndef ALMOND_NET_HTTP_SERVER_CONNECTION_H_
#define ALMOND_NET_HTTP_SERVER_CONNECTION_H_

#include <cstddef>
#include <functional>

#include "libalmond/net/connection_budget.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace almond {

/// One accepted connection of an http_server: bounds the bytes that are read
/// ahead of the request in progress, and reports to the budget what the
/// connection holds.
///
/// evhttp goes on reading while an answer waits to be sent, and takes a body
/// only once it is complete. The bound on the unparsed input is therefore low,
/// and is raised while a request that has not arrived whole fills it.
class http_server_connection {
 public:
  struct hooks {
    /// Called when the input is full or the budget is exceeded; Grow and the
    /// budget's Enforce should be called from the event loop then.
    std::function<void()> on_full;
    /// Called when the connection has ended; must destroy this object.
    std::function<void()> on_closed;
  };

  /// @param stream of a connection that evhttp is setting up
  /// @param budget outlives the connection
  http_server_connection(bufferevent* stream, connection_budget& budget,
                         connection_budget::listener_number listener,
                         hooks callbacks);
  ~http_server_connection();
  http_server_connection(const http_server_connection&) = delete;
  http_server_connection& operator=(const http_server_connection&) = delete;

  /// Call once evhttp has set up the connection, before any of its events.
  void Attach();
  evhttp_connection* Connection() const { return connection_; }
  connection_budget::connection_number Number() const { return number_; }

  /// Raises the bound on the input if a request that is being received fills
  /// it.
  void Grow();
  /// Call when a request is passed to its handler.
  /// @param bytes size of the request
  void OnRequest(std::size_t bytes);
  /// Call when bytes of a further request wait in the socket.
  void OnRequestsWaiting();
  /// Call before an answer is sent.
  /// @param request the request that is answered
  /// @param bytes size of the answer
  void OnAnswer(evhttp_request* request, std::size_t bytes);
  /// Frees the connection, and this object by way of on_closed. Not to be
  /// called from a callback of the same connection, or while a request is in
  /// progress.
  void Close();

 private:
  enum class phase : std::uint8_t { receiving, in_progress, answering };

  static void OnInput(evbuffer* input, const evbuffer_cb_info* change,
                      void* argument);
  static void OnSent(evhttp_request* request, void* argument);
  static void OnClosed(evhttp_connection* connection, void* argument);
  void CountInput(std::size_t added, std::size_t removed, std::size_t length);
  void SetBound(std::size_t bytes);
  void Report();

  bufferevent* stream_;
  connection_budget& budget_;
  hooks hooks_;
  connection_budget::connection_number number_;
  evhttp_connection* connection_ = nullptr;
  phase phase_ = phase::receiving;
  bool closing_ = false;
  std::size_t read_ahead_;  ///< lowest bound on the input
  std::size_t bound_ = 0;
  std::size_t received_ = 0;  ///< bytes of requests that are not handled yet
  std::size_t pieces_ = 0;    ///< parsed lines of the request being received
  std::size_t request_bytes_ = 0;
  std::size_t answer_bytes_ = 0;
  std::size_t socket_bytes_ = 0;
  std::size_t reported_ = 0;
};

}  // namespace almond

#endif  // ALMOND_NET_HTTP_SERVER_CONNECTION_H_
