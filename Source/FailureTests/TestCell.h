#pragma once

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "StandIns/LocalCell.h"

namespace basilgap::failuretests {

using standins::LocalCell;
using standins::waitUntil;

// Required time within which a change of the configuration is in force everywhere.
constexpr Millis MaxInForceDelay{ 3000 };
constexpr Millis DefaultTimeout{ 20000 };

// A stand-in backend server in a process of its own.
class BackendProcess
{
public:
    BackendProcess(
        const LocalCell &cell, const std::string &id, const std::vector<std::string> &options = {});

    // A figure from /fake/counts; -1 if it is missing or the process does not answer.
    int64_t count(const std::string &name) const;
    int64_t runsOf(const std::string &requestId) const { return count(requestId); }
    const std::string &address() const { return address_; }
    standins::ChildProcess &process() { return process_; }

private:
    std::string address_;
    standins::ChildProcess process_;
};

// Stand-in workers in a process of their own.
class WorkerProcess
{
public:
    WorkerProcess(
        const LocalCell &cell, const std::string &id, const std::vector<std::string> &options = {});

    // State of all its workers, as JSON.
    std::string state() const;
    // How often the task has been started.
    int startsOf(const std::string &task) const;
    int64_t running() const;
    standins::ChildProcess &process() { return process_; }

private:
    std::string address_;
    standins::ChildProcess process_;
};

// Fixture with a cell of its own. The cell's folder is removed unless the test failed.
class CellTest : public testing::Test
{
protected:
    void TearDown() override;

    // Starts the cell. To be called first in a test, or in ASSERT_NO_FATAL_FAILURE.
    void startCell(LocalCell::Options options = {});

    // Sends requests until one is answered 200, which takes a moment after a backend server has
    // started.
    void waitUntilServing(size_t entry = 0);

    std::string submit(
        const std::string &team, const std::string &body, const network::Headers &headers = {});
    // The job's state: "waiting", "running", "done", "failed", "cancelled".
    std::string jobState(const std::string &team, const std::string &id);
    bool waitForJob(const std::string &team, const std::string &id, const std::string &state,
        Millis timeout = DefaultTimeout);

    std::unique_ptr<LocalCell> cell_;
};

// The string value of the first key `name` in JSON; empty if there is none.
std::string jsonText(const std::string &json, const std::string &name);

std::string outcomeOf(const network::ExchangeResult &result);

} // namespace basilgap::failuretests
