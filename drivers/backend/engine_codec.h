#ifndef ORIOLETALLY_DRIVERS_BACKEND_ENGINE_CODEC_H
#define ORIOLETALLY_DRIVERS_BACKEND_ENGINE_CODEC_H

#include "core/backends/engine_client.h"

#include <optional>
#include <string>
#include <string_view>

namespace orioletally::drivers::backend {

/// Reads one line of an engine's stream; empty when it isn't a frame.
std::optional<core::backends::Frame> frameFromLine(std::string_view line);

/// Writes one line of an engine's stream, without the line end.
std::string lineFromFrame(const core::backends::Frame &frame);

/// Writes the body of a submit.
std::string submitToJson(const core::backends::EngineSubmit &submit);

/// Reads an error body as a refusal. Empty unless it says that nothing began.
std::optional<core::backends::EngineRefusal>
refusalFromJson(std::string_view body);

/// Reads what an engine says of itself; empty when it can't be read.
std::optional<core::backends::EngineReport>
reportFromJson(std::string_view body);

/// Reads the answer to a cancel; empty when it can't be read.
std::optional<core::backends::CancelAnswer>
cancelFromJson(std::string_view body);

/// Cuts a byte stream into lines.
class LineSplitter {
public:
  /// Takes \p data and calls \p each for every line that is now complete.
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
