#ifndef ORIOLETALLY_MAIN_OPERATOR_CLIENT_H
#define ORIOLETALLY_MAIN_OPERATOR_CLIENT_H

#include "drivers/http/http_message.h"

#include <absl/time/time.h>
#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace orioletally::main {

/// The entry node gave no usable answer. `MayHaveRun` is set when it may have
/// received and executed the request.
struct ClientError {
  std::string Reason;
  bool MayHaveRun = false;
};

/// An answer of an entry node to an operator.
struct OperatorAnswer {
  int Status = 0;
  std::string EntityTag;
  nlohmann::json Body;

  bool isSuccess() const { return Status >= 200 && Status < 300; }
};

/// A request of an operator to an entry node.
struct OperatorRequest {
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  drivers::http::HeaderMap Headers;
};

/// Client of the HTTP API that an entry node serves to operators.
class OperatorClient {
public:
  OperatorClient(std::string address, std::string token,
                 absl::Duration timeout);

  boost::leaf::result<OperatorAnswer> call(OperatorRequest request) const;

private:
  std::string Address;
  std::string Token;
  absl::Duration Timeout;
};

} // namespace orioletally::main

#endif
