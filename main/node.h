#ifndef ORIOLETALLY_MAIN_NODE_H
#define ORIOLETALLY_MAIN_NODE_H

#include "core/fields/field_table.h"

#include <boost/leaf.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace orioletally::main {

/// The reason why the node can't start.
struct NodeError {
  std::string Reason;
};

/// An entry node that serves its own HTTP API to callers and operators.
class Node {
public:
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// Starts listening for callers and for other nodes.
  boost::leaf::result<void> start();

  /// Refuses new requests and waits for those in progress. Aborts the remaining
  /// ones after node.drain_ms, or once \p isUrgent returns true, and returns
  /// false in that case.
  bool drain(const std::function<bool()> &isUrgent);

  /// "ip:port" at which callers reach the node, after start().
  std::string httpAddress() const;

private:
  friend class NodeBuilder;
  struct Parts;
  explicit Node(std::unique_ptr<Parts> built);

  std::unique_ptr<Parts> All;
};

/// Builds a node from its settings.
class NodeBuilder {
public:
  NodeBuilder &settings(core::fields::FieldValues values);
  NodeBuilder &incarnation(uint64_t n);
  boost::leaf::result<std::unique_ptr<Node>> build() const;

private:
  core::fields::FieldValues Settings;
  uint64_t Incarnation = 0;
};

} // namespace orioletally::main

#endif
