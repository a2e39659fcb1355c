#ifndef ORIOLETALLY_TESTS_LAB_POLICY_REPORT_H
#define ORIOLETALLY_TESTS_LAB_POLICY_REPORT_H

#include <string>
#include <vector>

namespace orioletally::lab {

/// One policy's value in one group of bars.
struct ReportBar {
  std::string Policy;
  double Value = 0;
};

/// The bars of one load.
struct ReportGroup {
  std::string Label;
  std::vector<ReportBar> Bars;
};

/// One chart: groups of bars, and a line at the target where there is one.
struct ReportChart {
  std::string Title;
  std::string Unit;
  /// No line is drawn at 0.
  double Target = 0;
  std::vector<ReportGroup> Groups;
};

/// Writes charts as one self-contained SVG text.
std::string renderReport(const std::vector<ReportChart> &charts);

} // namespace orioletally::lab

#endif
