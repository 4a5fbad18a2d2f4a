#include <csignal>

#include "FailureTests/TestCell.h"

namespace basilgap::failuretests {

namespace {

class JobsFailure : public CellTest
{
protected:
    static std::string job(const std::string &jobClass, int tasks, int millicores,
        const std::string &command, const std::string &more = "")
    {
        return "{\"name\": \"test\", \"class\": \"" + jobClass
            + "\", \"tasks\": " + std::to_string(tasks) + ", \"perTask\": {\"millicores\": "
            + std::to_string(millicores) + ", \"memoryMb\": 1000}, \"command\": [" + command + "]"
            + (more.empty() ? "" : ", " + more) + "}";
    }

    std::string describe(const std::string &team, const std::string &id)
    {
        return cell_->call(0, team, "GET", "/v1/jobs/" + id).response.body;
    }

    int64_t runningTasks(const std::string &team, const std::string &id)
    {
        return standins::jsonNumber(describe(team, id), "running");
    }
};

const std::string Forever = "\"forever\"";
const std::string Short = "\"sleep\", \"200\"";

} // namespace

TEST_F(JobsFailure, invalidJobsAreRefusedWithTheField)
{
    startCell({ .controls = 1, .entries = 1 });
    WorkerProcess worker(*cell_, "w1");
    const auto fieldOf = [&](const std::string &body) {
        const auto answer = cell_->call(0, "ghat", "POST", "/v1/jobs", body);
        EXPECT_EQ(answer.response.status, 422) << answer.response.body;
        EXPECT_EQ(outcomeOf(answer), "not-run");
        return jsonText(answer.response.body, "field");
    };
    EXPECT_EQ(fieldOf(job("batch", 0, 1000, Short)), "tasks");
    EXPECT_EQ(fieldOf(job("batch", 1, -5, Short)), "perTask.millicores");
    EXPECT_EQ(fieldOf(job("magic", 1, 1000, Short)), "class");
    EXPECT_EQ(fieldOf(job("batch", 1, 1000, Short, "\"retryLimit\": -1")), "retryLimit");
    EXPECT_EQ(fieldOf("{\"name\": \"" + std::string(300, 'n') + "\"}"), "name");
    EXPECT_TRUE(waitUntil(DefaultTimeout, [&] {
        const auto answer =
            cell_->call(0, "ghat", "POST", "/v1/jobs", job("batch", 1, 999'000, Short));
        return answer.response.status == 422
            && jsonText(answer.response.body, "field") == "perTask";
    }));
    EXPECT_EQ(cell_->call(0, "ghat", "POST", "/v1/jobs", "{\"colour\": 1}").response.status, 400);
    EXPECT_EQ(
        cell_->call(0, "ghat", "POST", "/v1/jobs", "{\"name\": \"\xff\xfe\"}").response.status,
        400);
}

TEST_F(JobsFailure, tasksOfAKilledWorkerMoveOnlyAfterItsLease)
{
    startCell({ .controls = 3, .entries = 2 });
    WorkerProcess first(*cell_, "w1", { "--zones=z1" });
    const std::string id = submit("ghat", job("service", 3, 1000, Forever));
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return first.running() == 3; }));
    WorkerProcess second(*cell_, "w2", { "--zones=z2" });
    first.process().kill();
    const Millis killedAt = steadyNow();
    ASSERT_TRUE(waitUntil(Millis(30000), [&] { return second.running() == 3; }));
    // The leader can't tell a dead worker from a partitioned one, so it waits for the end of the
    // lease of 10 s, which runs from the last poll.
    EXPECT_GE(steadyNow() - killedAt, Millis(7000));
    EXPECT_EQ(second.startsOf(id + "/0"), 1);
}

TEST_F(JobsFailure, suspendedWorkerRunsNothingAfterItsLease)
{
    startCell({ .controls = 1, .entries = 1 });
    WorkerProcess first(*cell_, "w1");
    const std::string id = submit("ghat", job("service", 2, 1000, Forever));
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return first.running() == 2; }));
    WorkerProcess second(*cell_, "w2");
    first.process().signal(SIGSTOP);
    ASSERT_TRUE(waitUntil(Millis(30000), [&] { return second.running() == 2; }));
    first.process().signal(SIGCONT);
    EXPECT_TRUE(waitUntil(DefaultTimeout, [&] { return first.running() == 0; }));
    EXPECT_EQ(second.running(), 2);
}

TEST_F(JobsFailure, leaderFailoverStartsNoTaskTwice)
{
    startCell({ .controls = 3, .entries = 2 });
    WorkerProcess workers(*cell_, "w", { "--count=3" });
    const std::string running = submit("ghat", job("service", 6, 1000, Forever));
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return runningTasks("ghat", running) == 6; }));
    cell_->controls()[static_cast<size_t>(cell_->waitForLeader(DefaultTimeout))].process.kill();
    const std::string later = submit("ghat", job("batch", 6, 1000, Short));
    ASSERT_TRUE(waitForJob("ghat", later, "done"));
    for (int i = 0; i < 6; i++) {
        EXPECT_EQ(workers.startsOf(running + "/" + std::to_string(i)), 1);
        EXPECT_EQ(workers.startsOf(later + "/" + std::to_string(i)), 1);
    }
    EXPECT_EQ(workers.state().find("\"overcommitted\": true"), std::string::npos);
}

TEST_F(JobsFailure, failingWorkerIsDistinguishedFromAFailingJob)
{
    startCell({ .controls = 1, .entries = 1 });
    WorkerProcess bad(*cell_, "bad", { "--fail-all" });
    WorkerProcess good(*cell_, "good", { "--count=3", "--millicores=4000" });
    std::vector<std::string> jobs;
    for (int i = 0; i < 8; i++)
        jobs.push_back(submit("ghat", job("batch", 2, 1000, Short, "\"retryLimit\": 3")));
    const std::string failing =
        submit("ghat", job("batch", 1, 1000, "\"fail\"", "\"retryLimit\": 2"));
    for (const std::string &id : jobs)
        EXPECT_TRUE(waitForJob("ghat", id, "done")) << describe("ghat", id);
    EXPECT_TRUE(waitForJob("ghat", failing, "failed")) << describe("ghat", failing);
    EXPECT_NE(describe("ghat", failing).find("told to fail"), std::string::npos);
    const std::string hosts = cell_->admin(cell_->entries()[0], "GET", "/v1/hosts").response.body;
    EXPECT_NE(hosts.find("{\"id\":\"bad\",\"kind\":\"worker\",\"zone\":\"z1\",\"state\":"
                         "\"quarantined\"}"),
        std::string::npos)
        << hosts;
}

TEST_F(JobsFailure, urgentJobStartsInTimeInAFullCell)
{
    startCell({ .controls = 3, .entries = 2 });
    WorkerProcess workers(*cell_, "w", { "--count=2", "--millicores=8000" });
    const std::string batch =
        submit("boatyard", job("batch", 16, 1000, Forever, "\"checkpointable\": true"));
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return runningTasks("boatyard", batch) == 16; }));
    const Millis submittedAt = steadyNow();
    const std::string urgent = submit("ghat", job("batch", 2, 4000, Forever, "\"urgent\": true"));
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return workers.startsOf(urgent + "/1") == 1; }));
    EXPECT_LE(steadyNow() - submittedAt, Millis(6400));
    EXPECT_EQ(workers.state().find("\"overcommitted\": true"), std::string::npos);
}

TEST_F(JobsFailure, zoneOutOfServiceStartsNothingAndItsServicesMove)
{
    startCell({ .controls = 3, .entries = 3 });
    WorkerProcess leaving(*cell_, "w1", { "--zones=z1" });
    const std::string service = submit("ghat", job("service", 2, 1000, Forever));
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return leaving.running() == 2; }));
    WorkerProcess staying(*cell_, "w2", { "--zones=z2" });
    ASSERT_EQ(cell_->zone("z1", "out", "out").response.status, 200);
    const std::string batch = submit("ghat", job("batch", 10, 1000, Short));
    EXPECT_TRUE(waitForJob("ghat", batch, "done"));
    EXPECT_TRUE(waitUntil(DefaultTimeout, [&] { return leaving.running() == 0; }));
    // A task has to stop in one zone before it starts in the other.
    EXPECT_TRUE(waitUntil(DefaultTimeout, [&] { return staying.running() == 2; }));
    for (int i = 0; i < 10; i++)
        EXPECT_EQ(leaving.startsOf(batch + "/" + std::to_string(i)), 0);
    ASSERT_EQ(cell_->zone("z1", "in", "in").response.status, 200);
    const std::string after = submit("ghat", job("batch", 1, 60000, Short));
    EXPECT_TRUE(waitForJob("ghat", after, "done"));
}

TEST_F(JobsFailure, massCancellationDoesNotBlockOtherJobs)
{
    startCell({ .controls = 3, .entries = 2 });
    WorkerProcess workers(*cell_, "w", { "--count=2" });
    std::vector<std::string> jobs;
    for (int i = 0; i < 60; i++)
        jobs.push_back(submit("boatyard", job("batch", 4, 1000, Forever)));
    for (const std::string &id : jobs)
        EXPECT_EQ(cell_->call(1, "boatyard", "DELETE", "/v1/jobs/" + id).response.status, 202);
    const std::string next = submit("ghat", job("gang", 4, 16000, Short));
    EXPECT_TRUE(waitForJob("ghat", next, "done"));
    for (const std::string &id : jobs)
        EXPECT_EQ(jobState("boatyard", id), "cancelled");
    EXPECT_EQ(cell_->call(0, "boatyard", "DELETE", "/v1/jobs/" + jobs[0]).response.status, 202);
}

TEST_F(JobsFailure, taskGetsMoreMemoryAtItsNextAttempt)
{
    startCell({ .controls = 1, .entries = 1 });
    WorkerProcess workers(*cell_, "w1");
    const std::string id = submit("ghat", job("batch", 1, 1000, "\"memory\", \"5000\", \"9000\""));
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return workers.startsOf(id + "/0") == 2; }));
    EXPECT_TRUE(waitForJob("ghat", id, "done", Millis(30000))) << describe("ghat", id);
    EXPECT_EQ(workers.startsOf(id + "/0"), 2);
}

TEST_F(JobsFailure, secondWorkerWithTheSameIdIsRefused)
{
    startCell({ .controls = 1, .entries = 1 });
    WorkerProcess first(*cell_, "w1");
    const std::string id = submit("ghat", job("service", 1, 1000, Forever));
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return first.running() == 1; }));
    WorkerProcess impostor(*cell_, "w1", { "--incarnation=2" });
    waitUntil(Millis(4000), [] { return false; });
    EXPECT_EQ(first.running(), 1);
    EXPECT_EQ(impostor.running(), 0);
    EXPECT_EQ(first.startsOf(id + "/0") + impostor.startsOf(id + "/0"), 1);
}

} // namespace basilgap::failuretests
