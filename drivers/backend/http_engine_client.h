#ifndef ORIOLETALLY_DRIVERS_BACKEND_HTTP_ENGINE_CLIENT_H
#define ORIOLETALLY_DRIVERS_BACKEND_HTTP_ENGINE_CLIENT_H

#include "core/backends/engine_client.h"

#include <boost/asio/io_context.hpp>

namespace orioletally::drivers::backend {

/// Client of the engines' HTTP protocol, which docs/INTERFACES.md describes
/// field by field. Every call opens a new connection, because a connection that
/// is kept open can go dead without either end noticing.
class HttpEngineClient : public core::backends::EngineClient {
public:
  /// Streams are read, and their observers called, on \p loop.
  explicit HttpEngineClient(boost::asio::io_context &loop) : Loop(loop) {}

  std::unique_ptr<core::backends::EngineConnection>
  submit(const std::string &address, core::backends::EngineSubmit submit,
         absl::Duration connectTimeout,
         std::shared_ptr<core::backends::StreamObserver> observer) override;

  std::unique_ptr<core::backends::EngineConnection>
  resume(const std::string &address, core::backends::StreamId stream,
         uint64_t offset, absl::Duration connectTimeout,
         std::shared_ptr<core::backends::StreamObserver> observer) override;

  boost::leaf::result<core::backends::CancelAnswer>
  cancel(const std::string &address, const core::backends::StreamId &stream,
         absl::Duration timeout) override;

  boost::leaf::result<core::backends::EngineReport>
  report(const std::string &address, absl::Duration detachedFor,
         absl::Duration timeout) override;

private:
  boost::asio::io_context &Loop;
};

} // namespace orioletally::drivers::backend

#endif
