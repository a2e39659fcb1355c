#ifndef ORIOLETALLY_TESTS_LAB_SPREAD_H
#define ORIOLETALLY_TESTS_LAB_SPREAD_H

#include <vector>

namespace orioletally::lab {

/// Measures the time from a profile change until every node has confirmed it,
/// for each number of nodes in \p sizes, over loopback and over links with a
/// delay of 4 ms plus jitter and 5% message loss. Prints a Markdown table.
void printSpread(const std::vector<int> &sizes, int changes);

} // namespace orioletally::lab

#endif
