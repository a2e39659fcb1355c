#ifndef ORIOLETALLY_DRIVERS_BACKEND_ENGINE_CODEC_H
#define ORIOLETALLY_DRIVERS_BACKEND_ENGINE_CODEC_H

#include "core/backends/engine_client.h"

#include <optional>
#include <string>
#include <string_view>

namespace orioletally::drivers::backend {

/// Parses one line of an engine's stream; returns nothing if it isn't a frame.
std::optional<core::backends::Frame> frameFromLine(std::string_view line);

/// Formats \p frame as one line of an engine's stream, without the line end.
std::string lineFromFrame(const core::backends::Frame &frame);

/// Formats \p submit as the JSON body of its request.
std::string submitToJson(const core::backends::EngineSubmit &submit);

/// Parses an error body. Returns a refusal only if the body states that nothing
/// was started.
std::optional<core::backends::EngineRefusal>
refusalFromJson(std::string_view body);

/// Parses an engine's answer to a status request; returns nothing if the load
/// or the streams are missing.
std::optional<core::backends::EngineReport>
reportFromJson(std::string_view body);

/// Parses the answer to a cancel; returns nothing if it has no valid state.
std::optional<core::backends::CancelAnswer>
cancelFromJson(std::string_view body);

/// Splits a byte stream into lines.
class LineSplitter {
public:
  /// Appends \p data and calls \p each with every complete line, without its
  /// line end.
  template <typename Function> void feed(std::string_view data, Function each) {
    Rest.append(data);
    size_t begin = 0;
    for (size_t end = Rest.find('\n'); end != std::string::npos;
         end = Rest.find('\n', begin)) {
      each(std::string_view(Rest).substr(begin, end - begin));
      begin = end + 1;
    }
    Rest.erase(0, begin);
  }

private:
  std::string Rest;
};

} // namespace orioletally::drivers::backend

#endif
