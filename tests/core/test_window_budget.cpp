#include "core/limits/window_budget.h"
#include "tests/support/request_fixture.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <random>
#include <vector>

using namespace orioletally::core::limits;
using orioletally::tests::at;

TEST_GROUP(WindowBudget) { WindowBudgetSettings settings; };

TEST(WindowBudget, TheSlackIsSharedByTheNodes) {
  settings.Slack = 16;
  WindowBudget budget(settings);
  budget.setNodeCount(8);
  CHECK(budget.tryTake(at(0)));
  CHECK(budget.tryTake(at(0)));
  CHECK_FALSE(budget.tryTake(at(0)));
  CHECK(budget.tryTake(at(10'001)));
}

TEST(WindowBudget, NodeWithLittleTrafficCanRetryItsCalls) {
  settings.Slack = 100;
  WindowBudget budget(settings);
  budget.setNodeCount(6);
  for (int n = 0; n < 10; ++n)
    CHECK(budget.tryTake(at(n)));
}

TEST(WindowBudget, RetriesOfAllNodesStayWithinTheFleetLimit) {
  settings.Share = 0.14;
  settings.Slack = 70;
  constexpr int Nodes = 7;
  std::vector<WindowBudget> budgets(Nodes, WindowBudget(settings));
  for (WindowBudget &it : budgets)
    it.setNodeCount(Nodes);
  std::mt19937_64 random(4);
  std::deque<int64_t> calls;
  std::deque<int64_t> retries;
  for (int64_t ms = 0; ms < 60'000; ++ms) {
    WindowBudget &node = budgets[random() % Nodes];
    if (random() % 10 == 0) {
      node.arrived(at(ms));
      calls.push_back(ms);
    }
    if (node.tryTake(at(ms)))
      retries.push_back(ms);
    while (!calls.empty() && calls.front() < ms - 10'000)
      calls.pop_front();
    while (!retries.empty() && retries.front() < ms - 10'000)
      retries.pop_front();
    // The documented limit: a fifth of the calls and 100.
    CHECK(static_cast<double>(retries.size()) <=
          0.2 * static_cast<double>(calls.size()) + 100);
  }
}
