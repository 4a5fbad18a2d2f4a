#include <gtest/gtest.h>

#include "Basilgap/Control/WorkerRegistry.h"

namespace basilgap::control {

namespace {

schema::WorkerReport reportOf(uint64_t incarnation, uint64_t sequence)
{
    schema::WorkerReport report;
    report.set_id("w1");
    report.set_incarnation(incarnation);
    report.set_sequence(sequence);
    return report;
}

} // namespace

TEST(WorkerRegistry, ordersNameTheIncarnationThatReported)
{
    const state::CellState state;
    WorkerRegistry registry(state, Millis(1000));
    const auto worker = registry.recordReport(reportOf(2, 1), nullptr, Millis(1000));
    ASSERT_TRUE(worker.has_value()) << worker.error().text();
    const schema::WorkerOrders orders = registry.ordersFor(**worker, {});
    EXPECT_TRUE(orders.has_incarnation());
    EXPECT_EQ(orders.incarnation(), 2U);
}

} // namespace basilgap::control
