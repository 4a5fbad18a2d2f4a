#include "Basilgap/Scheduling/AdmissionForecast.h"

#include <algorithm>
#include <cmath>

#include "Basilgap/Common/Hash.h"

#include "Basilgap/Scheduling/Lateness.h"

namespace basilgap::scheduling {

namespace {

// As in latenessOf(): a job earns nothing after three times its latency objective.
constexpr int64_t ExpiredLatenessFactor = 3;

// A new leader has seen no run end yet.
constexpr Millis MinFigureAge{ 2000 };

// Time in which the weight of finished work decays to 1/e.
constexpr double DrainWindowMs = 5000;

// Finished work has no weight any more after this time.
constexpr Millis MaxIdleTime{ 60000 };

constexpr double MinRetryMs = 1000;
// With the jitter of up to a half no caller waits for longer than 30 s.
constexpr double MaxRetryMs = 20000;
constexpr double MaxJitter = 0.5;

constexpr double MillicoresPerCore = 1000;

// A fraction from 0 to 1 from 32 bits of a hash.
double fractionOf(uint32_t bits)
{
    return static_cast<double>(bits) / static_cast<double>(UINT32_MAX);
}

// What a task of the step counts against its account, as in WorkTable::usageOf().
state::Resources resourcesOf(const schema::StepSpec &step)
{
    return { static_cast<int64_t>(step.millicores()), static_cast<int64_t>(step.memory_mb()),
        static_cast<int64_t>(step.accelerators()) };
}

} // namespace

Millis latencyObjective(const schema::WorkSpec &spec, const schema::QueueConfig &queue,
    const state::AccountName &account, const DurationEstimator *durations)
{
    // The job as it would be in the table.
    state::Work work;
    work.queue = state::queueIdOf(queue);
    work.account = account;
    work.spec = spec;
    work.occurrences.resize(1);
    work.occurrences.front().resize(static_cast<size_t>(spec.steps_size()));
    return latencyObjectiveOf(work, queue, 0, durations);
}

bool isExemptFromAdmission(const schema::WorkSpec &spec)
{
    return spec.occurrences() > 0
        || std::any_of(spec.steps().begin(), spec.steps().end(),
            [](const schema::StepSpec &step) { return step.service(); });
}

AdmissionForecast::AdmissionForecast(Millis now)
    : startedAt_(now)
{}

AdmissionForecast::Job &AdmissionForecast::track(
    const state::Work &work, const schema::QueueConfig *queue, const DurationEstimator &durations)
{
    Job &job = jobs_[work.serial];
    job.key = { work.account, work.queue };
    job.isLeftOut = queue == nullptr || isExemptFromAdmission(work.spec);
    for (uint32_t step = 0; step < static_cast<uint32_t>(work.spec.steps_size()); step++) {
        const state::StepRef ref{ work.serial, 0, step };
        const auto ms = static_cast<double>(durations.correctedEstimate(work, ref).count());
        const auto cores = static_cast<double>(work.specOf(ref).millicores()) / MillicoresPerCore;
        // A step without an estimate still counts, so that its rate can be measured.
        job.taskCoreMs.push_back(job.isLeftOut ? 0 : std::max(1.0, ms) * cores);
        job.doneCoreMs += job.taskCoreMs.back() * work.stepAt(ref).done;
    }
    backlogs_[job.key].jobs++;
    jobsOf_[work.account]++;
    waiting_[work.account];
    if (job.isLeftOut)
        return job;
    job.expiresAt = Millis(static_cast<int64_t>(work.submittedMs))
        + latencyObjectiveOf(work, *queue, 0, &durations) * ExpiredLatenessFactor;
    expiries_.emplace(job.expiresAt, work.serial);
    return job;
}

void AdmissionForecast::refresh(const state::Work &work, const schema::QueueConfig *queue,
    const DurationEstimator &durations, Millis now)
{
    advance(now);
    const auto known = jobs_.find(work.serial);
    if (known == jobs_.end() && !work.isActive())
        return;
    Job &job = known == jobs_.end() ? track(work, queue, durations) : known->second;
    double waitingCoreMs = 0;
    double doneCoreMs = 0;
    state::Resources waiting;
    for (uint32_t occurrence = 0; occurrence < work.occurrences.size(); occurrence++) {
        if (work.dueMs(occurrence) > static_cast<uint64_t>(now.count()))
            break;
        for (uint32_t step = 0; step < job.taskCoreMs.size(); step++) {
            const state::StepRef ref{ work.serial, occurrence, step };
            const state::WorkStep &tasks = work.stepAt(ref);
            waitingCoreMs += job.taskCoreMs[step] * tasks.waiting;
            doneCoreMs += job.taskCoreMs[step] * tasks.done;
            if (tasks.waiting > 0 && work.isReady(ref))
                waiting += resourcesOf(work.specOf(ref)) * tasks.waiting;
        }
    }
    addFinished(&backlogs_[job.key], doneCoreMs - job.doneCoreMs, now);
    job.doneCoreMs = doneCoreMs;
    if (!work.isActive())
        return remove(work.serial);
    setWaiting(&job, waitingCoreMs, waiting);
}

void AdmissionForecast::setWaiting(Job *job, double coreMs, const state::Resources &waiting)
{
    if (!job->isLeftOut)
        backlogs_[job->key].waitingCoreMs += coreMs - job->waitingCoreMs;
    job->waitingCoreMs = coreMs;
    state::Resources &ofAccount = waiting_[job->key.account];
    ofAccount -= job->waiting;
    ofAccount += waiting;
    job->waiting = waiting;
}

void AdmissionForecast::remove(state::WorkSerial work)
{
    const auto found = jobs_.find(work);
    if (found == jobs_.end())
        return;
    Job &job = found->second;
    setWaiting(&job, 0, {});
    Backlog &backlog = backlogs_[job.key];
    if (--backlog.jobs == 0)
        // What rounding has left.
        backlog.waitingCoreMs = 0;
    if (--jobsOf_[job.key.account] == 0) {
        jobsOf_.erase(job.key.account);
        waiting_.erase(job.key.account);
    }
    expiries_.erase({ job.expiresAt, work });
    jobs_.erase(found);
}

void AdmissionForecast::advance(Millis now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        Job &job = jobs_.at(expiries_.begin()->second);
        backlogs_[job.key].waitingCoreMs -= job.waitingCoreMs;
        job.isLeftOut = true;
        expiries_.erase(expiries_.begin());
    }
}

void AdmissionForecast::dropIdle(Millis now)
{
    std::erase_if(backlogs_, [now](const auto &entry) {
        return entry.second.jobs == 0 && now - entry.second.finishedAt > MaxIdleTime;
    });
}

void AdmissionForecast::addFinished(Backlog *backlog, double coreMs, Millis now) const
{
    if (coreMs <= 0)
        return;
    const double elapsedMs =
        std::max(0.0, static_cast<double>((now - backlog->finishedAt).count()));
    backlog->finishedCoreMs *= std::exp(-elapsedMs / DrainWindowMs);
    backlog->finishedCoreMs += coreMs;
    backlog->finishedAt = now;
}

double AdmissionForecast::drainCores(const Backlog &backlog, Millis now) const
{
    const double elapsedMs = std::max(0.0, static_cast<double>((now - backlog.finishedAt).count()));
    const double ageMs = std::max(1.0, static_cast<double>((now - startedAt_).count()));
    // Of the window only the part since the start has been observed.
    const double observedMs = DrainWindowMs * -std::expm1(-ageMs / DrainWindowMs);
    return backlog.finishedCoreMs * std::exp(-elapsedMs / DrainWindowMs) / observedMs;
}

double AdmissionForecast::drainCores(
    const state::QueueId &queue, const state::AccountName &account, Millis now) const
{
    const auto found = backlogs_.find({ account, queue });
    return found == backlogs_.end() ? 0 : drainCores(found->second, now);
}

double AdmissionForecast::drainCores(const state::AccountName &account, Millis now) const
{
    double sum = 0;
    for (auto it = backlogs_.lower_bound({ account, {} });
         it != backlogs_.end() && it->first.account == account; ++it)
        sum += drainCores(it->second, now);
    return sum;
}

double AdmissionForecast::backlogCoreMs(
    const state::QueueId &queue, const state::AccountName &account) const
{
    const auto found = backlogs_.find({ account, queue });
    return found == backlogs_.end() ? 0 : std::max(0.0, found->second.waitingCoreMs);
}

double AdmissionForecast::backlogCoreMs(const state::AccountName &account) const
{
    double sum = 0;
    for (auto it = backlogs_.lower_bound({ account, {} });
         it != backlogs_.end() && it->first.account == account; ++it)
        sum += std::max(0.0, it->second.waitingCoreMs);
    return sum;
}

std::optional<AdmissionRefusal> AdmissionForecast::decide(const AdmissionJob &job, Millis now) const
{
    // Without capacity the wait is not known.
    const bool isWaitKnown = job.entitledCores > 0 && now - startedAt_ >= MinFigureAge;
    if (job.isExempt || !job.isDemandBeyondShare || job.objective <= Millis(0) || !isWaitKnown)
        return std::nullopt;
    const double backlog = backlogCoreMs(job.queue, job.account);
    const double drain = std::max(drainCores(job.queue, job.account, now), job.entitledCores);
    const double waitMs = backlog / drain;
    const auto limitMs = static_cast<double>((job.objective * ExpiredLatenessFactor).count());
    if (!std::isfinite(waitMs) || waitMs <= limitMs)
        return std::nullopt;
    return AdmissionRefusal{ .retryAfterSeconds = retryAfterSeconds(job.id, waitMs - limitMs),
        .backlogCoreMs = backlog,
        .drainCores = drain,
        .wait = Millis(static_cast<int64_t>(waitMs)),
        .objective = job.objective };
}

// The jitter keeps callers that were refused at the same time from returning at the same moment.
// Seconds are rounded up or down at random by the hash, in proportion to the fraction.
uint32_t AdmissionForecast::retryAfterSeconds(const std::string &id, double excessMs) const
{
    constexpr double MsPerSecond = 1000;
    const uint64_t hash = checksum(id);
    const double jitter = 1 + MaxJitter * fractionOf(static_cast<uint32_t>(hash));
    const double ms = std::clamp(excessMs, MinRetryMs, MaxRetryMs) * jitter;
    const double rounding = fractionOf(static_cast<uint32_t>(hash >> 32U));
    const auto seconds = static_cast<uint32_t>(std::floor(ms / MsPerSecond + rounding));
    return std::clamp<uint32_t>(seconds, static_cast<uint32_t>(MinRetryMs / MsPerSecond),
        static_cast<uint32_t>(MaxRetryMs * (1 + MaxJitter) / MsPerSecond));
}

std::vector<state::WorkSerial> AdmissionForecast::nextForAudit(size_t count)
{
    std::vector<state::WorkSerial> serials;
    auto next = jobs_.upper_bound(auditedUpTo_);
    for (; next != jobs_.end() && serials.size() < count; ++next)
        serials.push_back(next->first);
    auditedUpTo_ = next == jobs_.end() ? state::WorkSerial() : serials.back();
    return serials;
}

} // namespace basilgap::scheduling
