#ifndef ORIOLETALLY_DRIVERS_LOOP_ASIO_USE_H
#define ORIOLETALLY_DRIVERS_LOOP_ASIO_USE_H

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

/// Short names for Boost.Asio and Beast, used by the code on the event loop.
namespace orioletally {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
} // namespace orioletally

namespace orioletally::drivers::loop {

/// Completion token that makes an asynchronous operation return its error code
/// instead of throwing.
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

} // namespace orioletally::drivers::loop

#endif
