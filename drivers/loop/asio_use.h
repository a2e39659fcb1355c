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

/// The names of Boost.Asio and Beast that the code on the event loop uses.
namespace orioletally {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
} // namespace orioletally

namespace orioletally::drivers::loop {

/// Makes an asynchronous call return its error code instead of throwing.
constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

} // namespace orioletally::drivers::loop

#endif
