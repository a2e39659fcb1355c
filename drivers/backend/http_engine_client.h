#ifndef ORIOLETALLY_DRIVERS_BACKEND_HTTP_ENGINE_CLIENT_H
#define ORIOLETALLY_DRIVERS_BACKEND_HTTP_ENGINE_CLIENT_H

#include "core/backends/engine_client.h"

#include <boost/asio/io_context.hpp>

namespace orioletally::drivers::backend {

/// Speaks the engines' HTTP protocol; docs/INTERFACES.md has it field by
/// field. Every call opens a connection of its own, because an open one can
/// have gone silent without either end noticing.
class HttpEngineClient : public core::backends::EngineClient {
public:
  /// Streams are read on \p loop, which calls their observers.
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
