#ifndef ORIOLETALLY_TESTS_LAB_SOCKET_STREAM_H
#define ORIOLETALLY_TESTS_LAB_SOCKET_STREAM_H

#include <absl/time/time.h>
#include <httplib.h>
#include <string>
#include <vector>

namespace orioletally::lab {

/// One accepted connection, as cpp-httplib's server reads and writes it. It
/// adds what the library's own stream lacks: a bound on the time that a whole
/// request may take to arrive, and a test for a caller that has gone.
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

  /// Reads fail after \p deadline.
  void setReadDeadline(absl::Time deadline) { ReadDeadline = deadline; }

  /// Whether bytes of a further request have arrived already.
  bool hasBuffered() const { return BufferNext < Buffer.size(); }

  /// Whether a read failed for lack of time.
  bool timedOut() const { return TimedOut; }

  /// Whether the caller has closed its side. A caller that closes only its
  /// sending side counts as gone too: the two can't be told apart.
  bool isPeerGone() const;

private:
  ssize_t fillBuffer();
  bool waitFor(short events, absl::Time deadline) const;

  int Fd;
  /// Bytes received and not read yet; the library asks for one at a time.
  std::vector<char> Buffer;
  size_t BufferNext = 0;
  absl::Duration WriteTimeout;
  absl::Time ReadDeadline = absl::InfiniteFuture();
  bool TimedOut = false;
};

/// Returns the connection that this thread is serving, or null elsewhere.
SocketStream *currentConnection();

/// Marks \p stream as the one that this thread serves while it lives.
class CurrentConnectionScope {
public:
  explicit CurrentConnectionScope(SocketStream &stream);
  ~CurrentConnectionScope();
  CurrentConnectionScope(const CurrentConnectionScope &) = delete;
  CurrentConnectionScope &operator=(const CurrentConnectionScope &) = delete;
};

} // namespace orioletally::lab

#endif
