#ifndef ORIOLETALLY_TESTS_LAB_SOCKET_STREAM_H
#define ORIOLETALLY_TESTS_LAB_SOCKET_STREAM_H

#include <absl/time/time.h>
#include <httplib.h>
#include <string>
#include <vector>

namespace orioletally::lab {

/// An accepted connection for cpp-httplib's server. Adds what the library's own
/// stream lacks: a deadline for a whole request to arrive, and a check for a
/// caller that has disconnected.
class SocketStream : public httplib::Stream {
public:
  SocketStream(int fd, absl::Duration writeTimeout);

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *ptr, size_t size) override;
  ssize_t write(const char *ptr, size_t size) override;
  void get_remote_ip_and_port(std::string &ip, int &port) const override;
  void get_local_ip_and_port(std::string &ip, int &port) const override;
  socket_t socket() const override { return Fd; }

  /// Makes reads fail after \p deadline.
  void setReadDeadline(absl::Time deadline) { ReadDeadline = deadline; }

  /// Returns whether bytes of another request are buffered.
  bool hasBuffered() const { return BufferNext < Buffer.size(); }

  /// Returns whether a read failed at the deadline.
  bool timedOut() const { return TimedOut; }

  /// Returns whether the caller has disconnected. A caller that closes only its
  /// sending side counts too, since the two can't be told apart.
  bool isPeerGone() const;

private:
  ssize_t fillBuffer();
  bool waitFor(short events, absl::Time deadline) const;

  int Fd;
  /// Received bytes, unread from BufferNext on; the library reads one byte at a
  /// time.
  std::vector<char> Buffer;
  size_t BufferNext = 0;
  absl::Duration WriteTimeout;
  absl::Time ReadDeadline = absl::InfiniteFuture();
  bool TimedOut = false;
};

/// Returns the connection that this thread is serving, or null elsewhere.
SocketStream *currentConnection();

/// Makes currentConnection() return \p stream on this thread during its
/// lifetime.
class CurrentConnectionScope {
public:
  explicit CurrentConnectionScope(SocketStream &stream);
  ~CurrentConnectionScope();
  CurrentConnectionScope(const CurrentConnectionScope &) = delete;
  CurrentConnectionScope &operator=(const CurrentConnectionScope &) = delete;
};

} // namespace orioletally::lab

#endif
