#include "tests/lab/policy_report.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace orioletally::lab {

namespace {

constexpr double ChartWidth = 900;
constexpr double ChartHeight = 230;
constexpr double PlotLeft = 70;
constexpr double PlotTop = 45;
constexpr double PlotHeight = 140;
constexpr double PlotWidth = ChartWidth - PlotLeft - 20;
constexpr double LegendHeight = 40;
/// Share of a group's width that its bars take.
constexpr double GroupFill = 0.8;
constexpr std::array<const char *, 6> Colours = {
    "#1b6ca8", "#e08a1e", "#5a9e4b", "#a05195", "#888888", "#c0392b"};
constexpr double LegendStep = 138;

double highestOf(const ReportChart &chart) {
  double highest = chart.Target;
  for (const ReportGroup &group : chart.Groups)
    for (const ReportBar &bar : group.Bars)
      highest = std::max(highest, bar.Value);
  return std::max(highest, 1e-9);
}

std::string text(double x, double y, const char *anchor, int size,
                 const std::string &content) {
  return fmt::format("<text x='{:.1f}' y='{:.1f}' text-anchor='{}' "
                     "font-size='{}'>{}</text>\n",
                     x, y, anchor, size, content);
}

std::string renderGroup(const ReportGroup &group, double left, double width,
                        double top, double highest) {
  std::string out;
  const double barWidth =
      width * GroupFill / static_cast<double>(group.Bars.size());
  const double bottom = top + PlotTop + PlotHeight;
  for (size_t n = 0; n < group.Bars.size(); ++n) {
    const double height = group.Bars[n].Value / highest * PlotHeight;
    const double x = left + barWidth * static_cast<double>(n);
    out += fmt::format("<rect x='{:.1f}' y='{:.1f}' width='{:.1f}' "
                       "height='{:.1f}' fill='{}'/>\n",
                       x, bottom - height, barWidth - 1, height,
                       Colours[n % Colours.size()]);
    out += text(x + barWidth / 2, bottom - height - 2, "middle", 7,
                fmt::format("{:.4g}", group.Bars[n].Value));
  }
  out += text(left + width * GroupFill / 2, bottom + 14, "middle", 10,
              group.Label);
  return out;
}

std::string renderChart(const ReportChart &chart, double top) {
  const double highest = highestOf(chart);
  const double bottom = top + PlotTop + PlotHeight;
  std::string out =
      text(PlotLeft, top + 22, "start", 14, chart.Title + ", " + chart.Unit);
  out += fmt::format("<line x1='{0}' y1='{1}' x2='{2}' y2='{1}' "
                     "stroke='black'/>\n",
                     PlotLeft, bottom, PlotLeft + PlotWidth);
  const double width = PlotWidth / static_cast<double>(chart.Groups.size());
  for (size_t n = 0; n < chart.Groups.size(); ++n)
    out += renderGroup(chart.Groups[n],
                       PlotLeft + width * (static_cast<double>(n) + 0.1), width,
                       top, highest);
  if (chart.Target > 0) {
    const double y = bottom - chart.Target / highest * PlotHeight;
    out += fmt::format("<line x1='{0}' y1='{1:.1f}' x2='{2}' y2='{1:.1f}' "
                       "stroke='#c00' stroke-dasharray='4 3'/>\n",
                       PlotLeft, y, PlotLeft + PlotWidth);
    out += text(PlotLeft - 4, y + 3, "end", 9,
                fmt::format("target {:.4g}", chart.Target));
  }
  return out;
}

std::string renderLegend(const ReportChart &chart) {
  std::string out;
  double x = PlotLeft;
  for (size_t n = 0; n < chart.Groups.front().Bars.size(); ++n) {
    out += fmt::format("<rect x='{:.1f}' y='12' width='12' height='12' "
                       "fill='{}'/>\n",
                       x, Colours[n % Colours.size()]);
    out += text(x + 16, 22, "start", 11, chart.Groups.front().Bars[n].Policy);
    x += LegendStep;
  }
  return out;
}

} // namespace

std::string renderReport(const std::vector<ReportChart> &charts) {
  const double height =
      LegendHeight + ChartHeight * static_cast<double>(charts.size());
  std::string out = fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 {0} {1}' "
      "width='{0}' height='{1}' font-family='sans-serif'>\n"
      "<rect width='100%' height='100%' fill='white'/>\n",
      ChartWidth, height);
  if (charts.empty() || charts.front().Groups.empty())
    return out + "</svg>\n";
  out += renderLegend(charts.front());
  for (size_t n = 0; n < charts.size(); ++n)
    out += renderChart(charts[n],
                       LegendHeight + ChartHeight * static_cast<double>(n));
  return out + "</svg>\n";
}

} // namespace orioletally::lab
