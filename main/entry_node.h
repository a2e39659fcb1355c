#ifndef ORIOLETALLY_MAIN_ENTRY_NODE_H
#define ORIOLETALLY_MAIN_ENTRY_NODE_H

#include "core/charts/state_chart.h"
#include "core/fields/field_table.h"
#include "main/settings_file.h"

#include <boost/leaf.hpp>
#include <cstdint>
#include <memory>

namespace orioletally::main {

/// The state charts that an entry node follows.
struct RelayCharts {
  core::charts::StateChart Call;
  core::charts::StateChart Attempt;
};

/// An entry node on the users' platform: relays calls to backend servers
/// according to the configuration in the platform's store.
class EntryNode {
public:
  /// Begins with \p settings and applies later changes of \p file, which must
  /// outlive the node.
  EntryNode(const core::fields::FieldValues &settings, uint64_t incarnation,
            RelayCharts charts, SettingsFile &file);
  ~EntryNode();
  EntryNode(const EntryNode &) = delete;
  EntryNode &operator=(const EntryNode &) = delete;

  /// Starts listening and watching the store. Fails with a
  /// drivers::loop::ListenError.
  boost::leaf::result<void> start();

  /// Runs until the node has drained after SIGTERM or SIGINT. Returns false
  /// when calls were aborted or the node had to stop for an error.
  bool run();

private:
  struct Parts;
  std::unique_ptr<Parts> All;
};

} // namespace orioletally::main

#endif
