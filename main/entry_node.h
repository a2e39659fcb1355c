#ifndef ORIOLETALLY_MAIN_ENTRY_NODE_H
#define ORIOLETALLY_MAIN_ENTRY_NODE_H

#include "core/charts/state_chart.h"
#include "core/fields/field_table.h"

#include <boost/leaf.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace orioletally::main {

/// An entry node on the users' platform: relays callers' calls to backend
/// servers by the configuration in the platform's store.
class EntryNode {
public:
  /// Reads the settings file again; logs why it can't be used.
  using SettingsReader =
      std::function<std::optional<core::fields::FieldValues>()>;

  EntryNode(const core::fields::FieldValues &settings, uint64_t incarnation,
            core::charts::StateChart callChart, SettingsReader reread);
  ~EntryNode();
  EntryNode(const EntryNode &) = delete;
  EntryNode &operator=(const EntryNode &) = delete;

  /// Listens, and begins to follow the store. Fails with a
  /// drivers::loop::ListenError.
  boost::leaf::result<void> start();

  /// Runs until SIGTERM or SIGINT has been obeyed. Returns whether every call
  /// ended by itself.
  bool run();

private:
  struct Parts;
  std::unique_ptr<Parts> All;
};

} // namespace orioletally::main

#endif
