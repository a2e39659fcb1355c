#ifndef ORIOLETALLY_CORE_PLATFORM_TABLE_OUTCOME_H
#define ORIOLETALLY_CORE_PLATFORM_TABLE_OUTCOME_H

#include "core/platform/table_service.h"

#include <boost/leaf.hpp>
#include <optional>
#include <utility>

namespace orioletally::core::platform {

/// The value of a call to the table service, or its TableError as a plain
/// value. LEAF 1.81 loses an error that a handler replaces by another of the
/// same type, so code that has to change one takes it out this way first.
template <typename Value> struct TableOutcome {
  std::optional<Value> Done;
  TableError Error;
};

/// Runs \p call, which returns a leaf::result, and takes a TableError out of
/// it. Errors of other types pass through.
template <typename Value, typename Function>
boost::leaf::result<TableOutcome<Value>> tableOutcome(Function call) {
  return boost::leaf::try_handle_some(
      [&]() -> boost::leaf::result<TableOutcome<Value>> {
        BOOST_LEAF_AUTO(value, call());
        return TableOutcome<Value>{std::move(value), {}};
      },
      [](const TableError &ec) -> boost::leaf::result<TableOutcome<Value>> {
        return TableOutcome<Value>{std::nullopt, ec};
      });
}

} // namespace orioletally::core::platform

#endif
