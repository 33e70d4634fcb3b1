#ifndef ALMOND_TESTS_NET_RAW_CONNECTION_H_
#define ALMOND_TESTS_NET_RAW_CONNECTION_H_

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <utility>

#include "libalmond/net/event_loop.h"
#include "libalmond/net/socket_util.h"

namespace almond {

/// A client socket that writes arbitrary bytes and reads until the peer closes.
class raw_connection {
 public:
  raw_connection(event_loop& loop, const socket_address& address)
      : loop_(loop), descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in raw = ToSockaddr(address);
    connected_ = connect(descriptor_, reinterpret_cast<const sockaddr*>(&raw),
                         sizeof(raw)) == 0;
    fcntl(descriptor_, F_SETFL, O_NONBLOCK);
  }
  ~raw_connection() { Close(); }
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  bool Connected() const { return connected_; }
  /// @returns false if not all bytes could be written
  bool Write(const std::string& bytes) const {
    return send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }
  /// @returns the number of bytes that could be written
  std::size_t WriteSome(const std::string& bytes) const {
    const ssize_t count =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return count < 0 ? 0 : static_cast<std::size_t>(count);
  }
  void Close() {
    if (descriptor_ >= 0) close(std::exchange(descriptor_, -1));
  }
  /// Reads the available bytes.
  void Read() {
    std::array<char, 4096> buffer{};
    while (!closed_) {
      const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
      if (count <= 0) {
        closed_ = true;
      } else {
        received_.append(buffer.data(), static_cast<std::size_t>(count));
      }
    }
  }
  /// Runs the loop until the peer has closed the connection.
  /// @returns all received bytes
  std::string ReadToEnd() {
    const auto poll = loop_.Every(milliseconds(1), [this] {
      Read();
      if (closed_) loop_.Stop();
    });
    loop_.Run();
    return received_;
  }
  const std::string& Received() const { return received_; }
  bool Closed() const { return closed_; }

 private:
  event_loop& loop_;
  int descriptor_;
  bool connected_ = false;
  bool closed_ = false;
  std::string received_;
};

}  // namespace almond

#endif  // ALMOND_TESTS_NET_RAW_CONNECTION_H_
