#ifndef ORIOLETALLY_DRIVERS_LOOP_ENDPOINT_H
#define ORIOLETALLY_DRIVERS_LOOP_ENDPOINT_H

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace orioletally::drivers::loop {

/// Reads "ip:port"; names aren't looked up. Empty when it can't be read.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view address);

/// Makes \p socket send small writes at once and notice a dead path within
/// \p silence although nothing else is sent.
void tuneSocket(boost::asio::ip::tcp::socket &socket);

} // namespace orioletally::drivers::loop

#endif
