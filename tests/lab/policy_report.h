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

/// A bar chart with an optional line at the target.
struct ReportChart {
  std::string Title;
  std::string Unit;
  /// 0 draws no line.
  double Target = 0;
  std::vector<ReportGroup> Groups;
};

/// Renders \p charts as one self-contained SVG document.
std::string renderReport(const std::vector<ReportChart> &charts);

} // namespace orioletally::lab

#endif
