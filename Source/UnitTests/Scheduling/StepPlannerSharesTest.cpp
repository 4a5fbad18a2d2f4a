// Accounts that compete for a full cell.

#include <gtest/gtest.h>

#include "StepPlannerFixture.h"

namespace basilgap::scheduling {
namespace {

class StepPlannerSharesTest : public StepPlannerTest
{
protected:
    static constexpr int Accounts = 20;
    static constexpr int64_t CellMillicores = 160000;

    static std::string nameOf(int account) { return "account" + std::to_string(account); }

    void SetUp() override
    {
        StepPlannerTest::SetUp();
        for (int i = 0; i < Accounts; i++)
            addAccount(nameOf(i));
        addWorkers(20, CellMillicores / 20);
    }

    void addAccount(const std::string &name)
    {
        schema::AccountConfig *account = configCommand.mutable_config()->add_accounts();
        account->set_name(name);
        account->set_weight(1);
    }

    StepRef submitFor(int account, const char *queue, uint64_t ageMs)
    {
        schema::SubmitWork command;
        command.set_id("of" + std::to_string(account) + "-" + std::to_string(++submitted_));
        command.set_queue(queue);
        command.set_account(nameOf(account));
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(4);
        step->set_millicores(1000);
        step->set_memory_mb(10);
        step->set_estimate_ms(1000);
        table.submit(command, Wall - ageMs);
        return { state::WorkSerial(submitted_), 0, 0 };
    }

    // Accounts have equal weights. The first one has started that much lately, the others 4,000
    // millicores each.
    void startByFirst(int64_t millicores)
    {
        config.apply(configCommand);
        waiting.refresh(table, config, Wall);
        shares.update(config, waiting.waitingMillicores(), Now);
        for (int i = 0; i < Accounts; i++)
            shares.recordStart(0, state::AccountName(nameOf(i)), i == 0 ? millicores : 4000);
        shares.update(config, waiting.waitingMillicores(), Now);
    }

    size_t placedOf(const StepPlan &plan, int account)
    {
        size_t count = 0;
        for (const PlannedRun &start : plan.starts)
            count += table.find(start.task.step.work)->account.value() == nameOf(account) ? 1 : 0;
        return count;
    }

private:
    uint64_t submitted_ = 0;
};

} // namespace

// Load pattern: one of 20 accounts sends 7 times its usual load to a full cell. Guards against a
// flood of new jobs that goes before the jobs of others that it has made late.
TEST_F(StepPlannerSharesTest, theStepsOfAFloodGoAfterThoseOfAccountsBelowTheirShare)
{
    for (StepWorker &worker : workers)
        worker.reserved.millicores = worker.capacity.millicores - 4000;
    for (int i = 0; i < 140; i++)
        submitFor(0, "urgent", 0);
    for (int i = 1; i < Accounts; i++)
        submitFor(i, "urgent", 2600);
    startByFirst(56000);
    const StepPlan planned = plan();
    for (int i = 1; i < Accounts; i++)
        EXPECT_EQ(placedOf(planned, i), 4U) << "account " << i;
    EXPECT_EQ(placedOf(planned, 0), 4U) << "what the others leave";
}

// Guards against a cell that keeps capacity free from the only account that has work.
TEST_F(StepPlannerSharesTest, capacityThatNobodyElseWantsGoesToTheAccountOverItsShare)
{
    for (int i = 0; i < 40; i++)
        submitFor(0, "urgent", 0);
    startByFirst(56000);
    EXPECT_EQ(placedOf(plan(), 0), 160U);
}

// Guards against urgent work of an account over its share that waits behind all deferrable work.
TEST_F(StepPlannerSharesTest, urgentWorkOverTheShareGoesBeforeDeferrableWorkThatIsLate)
{
    for (StepWorker &worker : workers)
        worker.reserved.millicores = worker.capacity.millicores - 1000;
    for (int i = 0; i < 5; i++)
        submitFor(0, "urgent", 0);
    for (int i = 1; i < Accounts; i++)
        submitFor(i, "deferrable", 4000);
    startByFirst(56000);
    EXPECT_EQ(placedOf(plan(), 0), 20U);
}

} // namespace basilgap::scheduling
