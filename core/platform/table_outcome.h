#ifndef ORIOLETALLY_CORE_PLATFORM_TABLE_OUTCOME_H
#define ORIOLETALLY_CORE_PLATFORM_TABLE_OUTCOME_H

#include "core/platform/table_service.h"

#include <boost/leaf.hpp>
#include <optional>
#include <utility>

namespace orioletally::core::platform {

/// The value of a call to the table service, or its TableError. In LEAF 1.81 an
/// error that a handler replaces with another of the same type is lost, so code
/// that changes an error extracts it this way first.
template <typename Value> struct TableOutcome {
  std::optional<Value> Done;
  TableError Error;
};

/// Runs \p call, which returns a leaf::result, and extracts its TableError, if
/// any. Errors of other types are propagated.
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
