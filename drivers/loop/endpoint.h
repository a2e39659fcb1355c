#ifndef ORIOLETALLY_DRIVERS_LOOP_ENDPOINT_H
#define ORIOLETALLY_DRIVERS_LOOP_ENDPOINT_H

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace orioletally::drivers::loop {

/// Parses "ip:port" without name resolution; empty when it is malformed.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view address);

/// Makes \p socket send small writes immediately, and detect a dead connection
/// within two seconds also when it is idle.
void tuneSocket(boost::asio::ip::tcp::socket &socket);

} // namespace orioletally::drivers::loop

#endif
