#ifndef ORIOLETALLY_TESTS_LAB_SLOPES_H
#define ORIOLETALLY_TESTS_LAB_SLOPES_H

namespace orioletally::lab {

/// Measures costs that grow with the size of the fleet and prints Markdown
/// tables: the CPU time of a routing decision, the traffic and CPU time of
/// membership, and the memory of each kind of state.
void printSlopes();

} // namespace orioletally::lab

#endif
