#ifndef ORIOLETALLY_TESTS_LAB_SLOPES_H
#define ORIOLETALLY_TESTS_LAB_SLOPES_H

namespace orioletally::lab {

/// Measures what grows with the fleet, at several sizes, and prints Markdown
/// tables: the cost of a routing decision, the traffic and processor time of
/// membership, and the memory of each kind of state.
void printSlopes();

} // namespace orioletally::lab

#endif
