#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "Basilgap/Dispatch/WorkerSession.h"
#include "Basilgap/Scheduling/PendingRunEnds.h"
#include "ModelNetwork.h"
#include "ModelRelays.h"

namespace basilgap::dispatch {

// A leader that places tasks on workers with enough free capacity in the table. It logs ends and
// starts as WorkDispatcher does, without a planner's choices.
class ModelLeader
{
public:
    struct Options
    {
        SimulatedTime &time;
        ModelNetwork::Workers &workers;
        // The committed state.
        state::WorkTable &table;
        uint64_t term = 0;
        std::function<int64_t(const state::StepTaskRef &)> millicoresOf;
        // Whether starts carry a ticket for the incarnation that is up, which may not be
        // registered.
        bool usesTickets = false;
        // Null if the leader makes all calls itself.
        ModelRelays *relays = nullptr;
        // Whether silent workers without runs are dropped, as WorkDispatcher does. Commits take
        // longer then, so that workers may answer while they are being dropped.
        bool dropsSilentWorkers = false;
    };

    explicit ModelLeader(Options options);

    void setTrouble(const NetworkTrouble &trouble) { network_.setTrouble(trouble); }
    // While no quorum confirms the leader, it sends no orders.
    void setConfirmed(bool isConfirmed) { isConfirmed_ = isConfirmed; }
    void freeze();
    // Continues without confirmation, as another leader has taken over.
    void thaw();
    // The process has ended or follows another leader. Its calls may still be carried out.
    void retire();
    // Whether calls go through relays.
    void setRelaying(bool isRelaying) { port_.setRelaying(isRelaying); }
    uint64_t relayedCalls() const { return port_.relayedCalls(); }
    uint64_t droppedWorkers() const { return droppedWorkers_; }
    uint64_t settledRestarts() const { return settledRestarts_; }

    // Opens sessions with new incarnations, and supersedes the sessions with earlier ones.
    void reconcile();
    void handleCanceled();
    // Stops a running task, as for an urgent one.
    void preempt(const state::StepTaskRef &task);

private:
    void tick();
    RelayedWorkerPort::Options portOptions();
    // As in WorkDispatcher.
    void settleRestart(WorkerNumber worker);
    void recordEnd(const EndedRun &ended);
    // As in WorkDispatcher.
    void applyOtherEnd(WorkerNumber worker, const StepTaskRef &task, const EndReport &report);
    void giveUpGang(const StepTaskRef &member, uint32_t run);
    void scheduleProposal();
    void propose();
    void planStarts(schema::RunBatch *batch);
    // Plans starts of the step's waiting tasks; all or none of a gang.
    void planStep(const state::StepRef &step, const scheduling::PendingRunEnds &pending,
        std::map<WorkerNumber, int64_t> *planned, schema::RunBatch *batch);
    std::optional<WorkerNumber> findRoom(
        int64_t millicores, const std::map<WorkerNumber, int64_t> &planned) const;
    void commit(const schema::RunBatch &batch, const std::map<WorkerNumber, uint64_t> &ends);
    void dropSilentWorkers();
    // Records are committed in the order of their proposals.
    Millis nextCommitDelay();
    void handleApplied(const schema::RunBatch &batch);
    void ackEnds(const std::map<WorkerNumber, uint64_t> &ends);
    void endStrandedRun(const StepTaskRef &task, uint32_t run);
    void sendStarts(const schema::RunBatch &batch);

    Options options_;
    ModelNetwork network_;
    RelayedWorkerPort port_;
    std::shared_ptr<ModelRelays::LeaderEnd> relayEnd_ = std::make_shared<ModelRelays::LeaderEnd>();
    CallLossTracker callLoss_;
    std::map<WorkerNumber, std::unique_ptr<WorkerSession>> sessions_;
    std::vector<schema::RunEnd> pendingEnds_;
    std::set<WorkerNumber> workersWithListedEnds_;
    Millis leaderSince_;
    bool hasTakenOver_ = false;
    bool isConfirmed_ = true;
    bool isFenced_ = false;
    bool isFrozen_ = false;
    bool isRetired_ = false;
    bool isBatchPending_ = false;
    Millis nextDrop_;
    std::set<WorkerNumber> workersBeingDropped_;
    uint64_t droppedWorkers_ = 0;
    uint64_t settledRestarts_ = 0;
    Millis lastCommitAt_;
};

} // namespace basilgap::dispatch
