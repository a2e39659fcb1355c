#ifndef ORIOLETALLY_TESTS_LAB_POLICY_BENCH_H
#define ORIOLETALLY_TESTS_LAB_POLICY_BENCH_H

#include <cstdint>
#include <string>

namespace orioletally::lab {

/// Compares the routing policies on both deployments in virtual time, with
/// open-loop arrivals, prompts of 1,000 to 1,000,000 tokens and stand-in
/// engines, at several loads. Each run lasts \p seconds of virtual time.
/// Prints a Markdown table and, unless \p picture is empty, writes charts of
/// the comparison to that SVG file.
void printPolicies(int seconds, uint64_t seed, const std::string &picture);

} // namespace orioletally::lab

#endif
