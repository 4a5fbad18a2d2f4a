#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Basilgap/Scheduling/DurationEstimator.h"
#include "Basilgap/Scheduling/StartShares.h"
#include "Basilgap/State/WorkConfigState.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// A step with tasks to be placed, and its position in the order.
struct WaitingStep
{
    state::StepRef ref;
    const state::Work *work = nullptr;
    const schema::QueueConfig *queue = nullptr;
    uint32_t priority = 0;
    // See LatencyBounds; a service counts as on time.
    int latenessBand = 0;
    // See LatencyBounds.
    int64_t orderMs = 0;

    bool operator<(const WaitingStep &other) const;
};

// Jobs whose state depends on the time: each is read again at the time that it asked for.
class TimedChanges
{
public:
    // Has no effect if the job is read again before then anyway.
    void add(uint64_t wallMs, state::WorkSerial work);
    void clear();
    // Removes the jobs that are due, and calls back with each.
    void takeDue(uint64_t wallMs, const std::function<void(state::WorkSerial)> &callback);

private:
    using Entry = std::pair<uint64_t, state::WorkSerial>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> due_;
    // The earliest time of each job in due_.
    std::unordered_map<state::WorkSerial, uint64_t> earliest_;
};

// Tells a reader of the table which jobs it has to read again.
class WorkReader
{
public:
    // All jobs are read again the next time.
    void reset() { position_ = 0; }
    // Calls back with each job whose state or time has come, or first `onReset` and then with each
    // active job if the reader has to begin anew.
    void readChanges(const state::WorkTable &table, const state::WorkConfigState &config,
        uint64_t wallMs, const std::function<void()> &onReset,
        const std::function<void(state::WorkSerial)> &callback);
    // Has the job read again at that time.
    void readAgainAt(uint64_t wallMs, state::WorkSerial work) { timed_.add(wallMs, work); }

private:
    // Position in the changes of the table; 0 before the first look.
    uint64_t position_ = 0;
    TimedChanges timed_;
    std::vector<state::WorkSerial> changed_;
    uint64_t configRevision_ = 0;
    uint64_t readAtMs_ = 0;
};

// The steps with waiting tasks whose predecessors are done, in the order in which they are placed:
// those that can meet their objective first, then by priority and by the latest start that meets
// it, with those first that are nearly finished. Kept between planning rounds; only jobs that have
// changed are read again. Load pattern: a full cell with thousands of waiting tasks, of which each
// round can place a few.
class WaitingSteps
{
public:
    // Latest starts follow from the expected durations, or from the estimates in the jobs (null).
    explicit WaitingSteps(const DurationEstimator *durations = nullptr)
        : durations_(durations)
    {}

    // Reads the jobs that have changed, or whose place has changed with time. Takes the present
    // time in Unix milliseconds.
    void refresh(
        const state::WorkTable &table, const state::WorkConfigState &config, uint64_t wallMs);

    const std::set<WaitingStep> &ordered() const { return ordered_; }
    // What waits, without services.
    const MillicoresByAccount &waitingMillicores() const { return waitingMillicores_; }
    const DurationEstimator *durations() const { return durations_; }

private:
    // Of one job.
    struct Entries
    {
        std::vector<std::set<WaitingStep>::iterator> steps;
        MillicoresByAccount::key_type key;
        int64_t waitingMillicores = 0;
    };

    void readAgain(const state::WorkTable &table, const state::WorkConfigState &config,
        state::WorkSerial serial, uint64_t wallMs);
    void addWaiting(const MillicoresByAccount::key_type &key, int64_t millicores);
    void add(const state::Work &work, const schema::QueueConfig &queue, uint64_t wallMs);

    const DurationEstimator *durations_;
    std::set<WaitingStep> ordered_;
    std::unordered_map<state::WorkSerial, Entries> entries_;
    MillicoresByAccount waitingMillicores_;
    WorkReader reader_;
};

} // namespace basilgap::scheduling
