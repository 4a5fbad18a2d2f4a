// Which workers placement advice is asked about.

#include <algorithm>
#include <tuple>

#include "Basilgap/Scheduling/StepPlanner.h"

namespace basilgap::scheduling {

namespace {

// Share of the workers that advice usually grants, when nothing is known of a step yet.
constexpr double UsualGrantShare = 0.3;
// Workers named in a call for advice: enough for a choice, few enough for a quick answer.
constexpr size_t LeastWorkersAsked = 20;
constexpr size_t MostWorkersAsked = 48;
// Room for this many times the missing tasks is asked for, since others take some of it meanwhile.
constexpr double RoomAskedFactor = 2;

} // namespace

bool fitsLabel(const StepWorker &worker, const schema::StepSpec &spec)
{
    return spec.required_label().empty()
        || std::find(worker.labels.begin(), worker.labels.end(), spec.required_label())
        != worker.labels.end();
}

std::vector<WorkerNumber> workersToAsk(
    const schema::StepSpec &spec, std::vector<AskableWorker> options, uint32_t missing)
{
    std::sort(
        options.begin(), options.end(), [](const AskableWorker &left, const AskableWorker &right) {
            return std::tie(right.isKnown, right.room.millicores)
                < std::tie(left.isKnown, left.room.millicores);
        });
    const Resources need = state::reservationOf(spec);
    std::vector<WorkerNumber> workers;
    double expected = 0;
    for (const AskableWorker &option : options) {
        if (workers.size() >= MostWorkersAsked)
            break;
        // Of workers that are known to be eligible no more are needed than give room.
        const size_t least = option.isKnown ? 1 : LeastWorkersAsked;
        if (expected >= RoomAskedFactor * missing && workers.size() >= least)
            break;
        workers.push_back(option.number);
        const int64_t byProcessor =
            need.millicores == 0 ? missing : option.room.millicores / need.millicores;
        const int64_t byMemory =
            need.memoryMb == 0 ? missing : option.room.memoryMb / need.memoryMb;
        int64_t tasks = std::max<int64_t>(1, std::min(byProcessor, byMemory));
        if (spec.max_per_worker() > 0)
            tasks = std::min<int64_t>(tasks, spec.max_per_worker());
        expected += static_cast<double>(tasks) * (option.isKnown ? 1.0 : UsualGrantShare);
    }
    return workers;
}

std::vector<WorkerNumber> workersToAskFirst(
    const schema::StepSpec &spec, const std::string &pool, const std::vector<StepWorker> &workers)
{
    const Resources need = state::reservationOf(spec);
    std::vector<AskableWorker> options;
    for (const StepWorker &worker : workers) {
        if (worker.usable && worker.startsLeft > 0 && worker.pool == pool && fitsLabel(worker, spec)
            && need.fitsIn(worker.room()))
            options.push_back({ worker.number, worker.room(), false });
    }
    return workersToAsk(spec, std::move(options), spec.count());
}

// Names workers with room whose answer is not known, or whose ticket ran out.
void StepPlanner::wishAdvice(const Candidate &candidate, uint32_t missing)
{
    const StepPermits &permits = input_.permits.of(candidate.ref);
    if (plan_.wishes.size() >= input_.freeAdvisers || permits.isAsking())
        return;
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const Resources need = state::reservationOf(spec);
    std::vector<AskableWorker> options;
    for (const StepWorker &worker : input_.workers) {
        const Resources room = worker.room();
        // For a step that comes later, room is judged by what may be free then.
        const bool fits = candidate.isAhead ? need.fitsIn(worker.capacity) : need.fitsIn(room);
        if (!fits || !mayRun(worker, candidate) || permits.isRefused(worker.number))
            continue;
        if (permits.ticket(worker.number, input_.now) != nullptr) {
            if (candidate.isAhead)
                return;
            continue;
        }
        options.push_back({ worker.number, room, permits.isKnownEligible(worker.number) });
    }
    if (!options.empty())
        plan_.wishes.push_back({ candidate.ref, workersToAsk(spec, std::move(options), missing) });
}

} // namespace basilgap::scheduling
