#ifndef ORIOLETALLY_TESTS_LAB_SPREAD_H
#define ORIOLETALLY_TESTS_LAB_SPREAD_H

#include <vector>

namespace orioletally::lab {

/// Measures the time from the commit of a profile change until every node has
/// confirmed it, for each number of nodes, over links of 4 ms with jitter that
/// drop one message in twenty. Prints a Markdown table.
void printSpread(const std::vector<int> &sizes, int changes);

} // namespace orioletally::lab

#endif
