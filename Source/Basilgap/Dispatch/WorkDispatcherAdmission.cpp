// Keeps the shares of accounts and the backlog by which submitted jobs are accepted or refused.

#include <cmath>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Dispatch/WorkDispatcher.h"

namespace basilgap::dispatch {

namespace {

// Jobs that are checked against the table in each pruning interval.
constexpr size_t AuditedJobs = 256;

constexpr size_t MaxLoggedAccounts = 10;

constexpr double MillicoresPerCore = 1000;
constexpr double Percent = 100;

} // namespace

// Not before the first turn of the event loop, as the other replicas wait for the first message of
// a new leader, and elect another one if all jobs are read before it is sent.
void WorkDispatcher::rebuildAdmission()
{
    isAdmissionBuilt_ = true;
    for (const state::WorkSerial serial : state_.works().active())
        refreshAdmission(serial);
    logRetiredQueues();
}

void WorkDispatcher::refreshAdmission(state::WorkSerial serial)
{
    const state::Work *work = state_.works().find(serial);
    if (work == nullptr)
        return admission_.remove(serial);
    admission_.refresh(*work, state_.workConfig().findQueue(work->queue), speeds_, stateNow());
}

void WorkDispatcher::refreshAdmission(const schema::RunBatch &batch)
{
    std::set<state::WorkSerial> serials;
    for (const schema::RunEnd &end : batch.ends())
        serials.insert(state::WorkSerial(end.work()));
    for (const schema::RunStart &start : batch.starts())
        serials.insert(state::WorkSerial(start.work()));
    for (const state::WorkSerial serial : serials)
        refreshAdmission(serial);
}

void WorkDispatcher::auditAdmission()
{
    for (const state::WorkSerial serial : admission_.nextForAudit(AuditedJobs))
        refreshAdmission(serial);
    admission_.dropIdle(stateNow());
}

void WorkDispatcher::updateAccountShares(const std::vector<scheduling::StepWorker> &workers)
{
    scheduling::SharesView view;
    view.now = steadyNow();
    registeredCapacity_ = {};
    for (const scheduling::StepWorker &worker : workers) {
        // The usage of the accounts includes that of workers out of reach.
        const bool takesTasks = worker.schedulable && !worker.isQuarantined;
        view.capacity += takesTasks ? worker.capacity : worker.reserved;
        registeredCapacity_ += worker.capacity;
    }
    const auto &waiting = admission_.waitingByAccount();
    const auto add = [&](const state::AccountName &account, const schema::AccountConfig *config) {
        scheduling::AccountLoad &load = view.accounts.emplace_back();
        load.account = account;
        load.usage = state_.works().usageOf(account);
        const auto found = waiting.find(account);
        if (found != waiting.end())
            load.waiting = found->second;
        if (config == nullptr)
            return;
        load.weight = config->weight();
        load.cap = { static_cast<int64_t>(config->millicores_cap()),
            static_cast<int64_t>(config->memory_mb_cap()),
            static_cast<int64_t>(config->accelerators_cap()) };
    };
    for (const schema::AccountConfig &config : state_.workConfig().config().accounts())
        add(state::AccountName(config.name()), &config);
    // Jobs of open queues have no account, and an account may have been removed.
    for (const auto &[account, resources] : waiting) {
        if (state_.workConfig().findAccount(account) == nullptr)
            add(account, nullptr);
    }
    accountShares_.update(view);
}

std::optional<scheduling::AdmissionRefusal> WorkDispatcher::decideAdmission(const std::string &id,
    const schema::QueueConfig &queue, const std::string &account,
    const schema::WorkSpec &spec) const
{
    const state::AccountName name(account);
    // The job is only read where a refusal is possible at all.
    if (!accountShares_.isDemandBeyondShare(name))
        return std::nullopt;
    // Workers out of reach count, because they usually return within seconds, as after the change
    // of the leader.
    const double cores = static_cast<double>(registeredCapacity_.millicores) / MillicoresPerCore;
    return admission_.decide(
        {
            .id = id,
            .queue = state::queueIdOf(queue),
            .account = name,
            .objective = scheduling::latencyObjective(spec, queue, name, waitingSteps_.durations()),
            .isExempt = scheduling::isExemptFromAdmission(spec),
            .entitledCores = accountShares_.entitlement(name) * cores,
            .isDemandBeyondShare = accountShares_.isDemandBeyondShare(name),
        },
        stateNow());
}

// Logs the accounts that hold more than their share of a full cell, the furthest first. Their new
// jobs may be refused; the order of their steps follows the start shares.
void WorkDispatcher::logAccountShares() const
{
    const Millis now = stateNow();
    for (const state::AccountName &account : accountShares_.accountsOverShare(MaxLoggedAccounts)) {
        LogEvent("account-share")
            .with("account", account.value())
            .with("sharePercent", std::llround(accountShares_.share(account) * Percent))
            .with("creditMs", std::llround(accountShares_.credit(account)))
            .with("reservedMillicores", state_.works().usageOf(account).millicores)
            .with("backlogCoreMs", std::llround(admission_.backlogCoreMs(account)))
            .with("drainMillicores",
                std::llround(admission_.drainCores(account, now) * MillicoresPerCore));
    }
}

// Logs the accounts whose steps rank one band of lateness later.
void WorkDispatcher::logStartShares() const
{
    for (const scheduling::StartShareExcess &excess :
        startShares_.accountsOverShare(MaxLoggedAccounts)) {
        LogEvent("start-share")
            .with("priority", excess.priority)
            .with("account", excess.account.value())
            .with("startedMillicores", excess.startedMillicores)
            .with("fairMillicores", excess.fairMillicores)
            .with("allMillicores", excess.allMillicores);
    }
}

} // namespace basilgap::dispatch
