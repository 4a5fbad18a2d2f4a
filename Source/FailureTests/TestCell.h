#pragma once

#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "StandIns/LocalCell.h"

namespace basilgap::failuretests {

using standins::LocalCell;
using standins::waitUntil;

// The bounds that the brief and the issues state.
constexpr Millis MaxInForceDelay{ 3000 };
constexpr Millis DefaultTimeout{ 20000 };

// A stand-in backend server in a process of its own.
class BackendProcess
{
public:
    BackendProcess(
        const LocalCell &cell, const std::string &id, const std::vector<std::string> &options = {});

    // The number after the name in its counts; -1 when it does not answer.
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

    // JSON of all its workers.
    std::string state() const;
    // Starts of a task so far.
    int startsOf(const std::string &task) const;
    int64_t running() const;
    standins::ChildProcess &process() { return process_; }

private:
    std::string address_;
    standins::ChildProcess process_;
};

// A cell for one test, removed afterwards unless the test failed.
class CellTest : public testing::Test
{
protected:
    void TearDown() override;

    // Starts the cell; to be called in ASSERT_NO_FATAL_FAILURE or at the start of a test.
    void startCell(LocalCell::Options options = {});

    // Sends until the cell answers 200, which takes a moment after a backend server has come.
    void waitUntilServing(size_t entry = 0);

    std::string submit(
        const std::string &team, const std::string &body, const network::Headers &headers = {});
    // The job's state text: "waiting", "running", "done", "failed", "cancelled".
    std::string jobState(const std::string &team, const std::string &id);
    bool waitForJob(const std::string &team, const std::string &id, const std::string &state,
        Millis timeout = DefaultTimeout);

    std::unique_ptr<LocalCell> cell_;
};

// The text after "name":" in JSON.
std::string jsonText(const std::string &json, const std::string &name);

std::string outcomeOf(const network::ExchangeResult &result);

} // namespace basilgap::failuretests
