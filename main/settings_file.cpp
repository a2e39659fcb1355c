#include "main/settings_file.h"

#include "drivers/log/log.h"
#include "main/entry_settings.h"

namespace leaf = boost::leaf;

namespace orioletally::main {

using core::fields::FieldValues;

std::optional<FieldValues> SettingsFile::read() {
  readText();
  return parse();
}

std::optional<FieldValues> SettingsFile::readIfChanged() {
  return readText() ? parse() : std::nullopt;
}

bool SettingsFile::readText() {
  std::optional<std::string> text = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(it, readFile(Path));
        return std::optional<std::string>(std::move(it));
      },
      [] { return std::optional<std::string>(); });
  const bool isChanged = text != Text;
  Text = std::move(text);
  return isChanged;
}

std::optional<FieldValues> SettingsFile::parse() {
  using Result = std::optional<FieldValues>;
  if (!Text.has_value())
    return refuse(Path + ": can't be read");
  return leaf::try_handle_all(
      [&]() -> leaf::result<Result> {
        BOOST_LEAF_AUTO(
            settings,
            parseEntrySettings(*Text, Path, InForce ? &*InForce : nullptr));
        for (const SettingsError &it : settings.Rejected)
          drivers::log::write(drivers::log::Level::Error, "setting_rejected",
                              {{"reason", it.text()}});
        if (!std::exchange(Problem, {}).empty())
          drivers::log::write(drivers::log::Level::Info, "settings_usable",
                              {{"file", Path}});
        InForce = std::move(settings.Values);
        return Result(InForce);
      },
      [&](const SettingsError &ec) { return refuse(ec.text()); },
      [&] { return refuse(Path + ": unexpected failure"); });
}

std::optional<FieldValues> SettingsFile::refuse(const std::string &reason) {
  if (std::exchange(Problem, reason) != reason)
    drivers::log::write(drivers::log::Level::Error,
                        InForce.has_value() ? "reload_refused"
                                            : "settings_awaited",
                        {{"reason", reason}});
  return std::nullopt;
}

} // namespace orioletally::main
