#include "Basilgap/Entry/HttpBodies.h"

#include <optional>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Settings/FieldCheck.h"

namespace basilgap::entry {

namespace {

constexpr int64_t MaxResourceAmount = 1'000'000'000;
constexpr int64_t MaxAccelerators = 1024;
constexpr int64_t MaxSlots = 10000;
constexpr int64_t MaxConnections = 100000;
constexpr int MaxReportedTasks = 10000;
constexpr int MaxRunningEntries = 1000;
constexpr int64_t MaxTasks = 10000;
constexpr int64_t MaxRetryLimit = 100;
constexpr int64_t MaxEstimateMs = 366LL * 24 * 3600 * 1000;
constexpr int MaxCommandWords = 100;
constexpr size_t MaxCommandBytes = 4096;
constexpr size_t MaxReasonBytes = 200;

tl::unexpected<Error> invalid(const std::string &field, const std::string &reason)
{
    return fail({ ErrorCode::Invalid, "check", field, reason });
}

std::optional<Error> checkName(const std::string &text, const std::string &field)
{
    const auto problem = settings::checkFormat(text, schema::NAME);
    if (!problem)
        return std::nullopt;
    return Error{ ErrorCode::Invalid, "check", field, *problem };
}

std::optional<Error> checkRange(
    int64_t value, int64_t minimum, int64_t maximum, const std::string &field)
{
    if (value >= minimum && value <= maximum)
        return std::nullopt;
    return Error{ ErrorCode::Invalid, "check", field,
        "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum) };
}

std::optional<Error> checkResources(
    const schema::ResourcesBody &body, const std::string &field, int64_t minimum)
{
    if (auto error =
            checkRange(body.millicores(), minimum, MaxResourceAmount, field + ".millicores"))
        return error;
    if (auto error = checkRange(body.memory_mb(), minimum, MaxResourceAmount, field + ".memoryMb"))
        return error;
    return checkRange(body.accelerators(), 0, MaxAccelerators, field + ".accelerators");
}

void copyResources(const schema::ResourcesBody &from, schema::Resources *to)
{
    to->set_millicores(static_cast<uint64_t>(from.millicores()));
    to->set_memory_mb(static_cast<uint64_t>(from.memory_mb()));
    to->set_accelerators(static_cast<uint64_t>(from.accelerators()));
}

std::optional<schema::TaskReport::State> readState(const std::string &text)
{
    if (text == "running")
        return schema::TaskReport::RUNNING;
    if (text == "done")
        return schema::TaskReport::DONE;
    if (text == "failed")
        return schema::TaskReport::FAILED;
    if (text == "stopped")
        return schema::TaskReport::STOPPED;
    if (text == "checkpointed")
        return schema::TaskReport::CHECKPOINTED;
    return std::nullopt;
}

std::optional<schema::JobClass> readJobClass(const std::string &text)
{
    if (text == "batch")
        return schema::BATCH;
    if (text == "service")
        return schema::SERVICE;
    if (text == "gang")
        return schema::GANG;
    return std::nullopt;
}

std::optional<schema::Spread> readSpread(const std::string &text)
{
    if (text.empty() || text == "none")
        return schema::SPREAD_NONE;
    if (text == "zone")
        return schema::SPREAD_ZONE;
    if (text == "rack")
        return schema::SPREAD_RACK;
    return std::nullopt;
}

template<typename AddOrder>
void writeOrders(
    const google::protobuf::RepeatedPtrField<schema::TaskOrder> &orders, AddOrder addOrder)
{
    for (const auto &order : orders) {
        schema::OrderBody *row = addOrder();
        row->set_task(toText(TaskId{ JobId(order.job()), order.task() }));
        row->set_epoch(order.epoch());
        row->set_millicores(static_cast<uint32_t>(order.millicores()));
    }
}

} // namespace

Result<schema::WorkerReport> readWorkerReport(const schema::WorkerBody &body)
{
    if (auto error = checkName(body.id(), "id"))
        return fail(*error);
    if (auto error = checkName(body.zone(), "zone"))
        return fail(*error);
    if (auto error = checkName(body.rack(), "rack"))
        return fail(*error);
    if (auto error = checkRange(body.incarnation(), 0, INT64_MAX, "incarnation"))
        return fail(*error);
    if (auto error = checkRange(body.sequence(), 0, INT64_MAX, "sequence"))
        return fail(*error);
    if (auto error = checkResources(body.capacity(), "capacity", 1))
        return fail(*error);
    if (body.tasks_size() > MaxReportedTasks)
        return invalid("tasks", "too many");
    schema::WorkerReport report;
    report.set_id(body.id());
    report.set_incarnation(static_cast<uint64_t>(body.incarnation()));
    report.set_sequence(static_cast<uint64_t>(body.sequence()));
    report.set_zone(body.zone());
    report.set_rack(body.rack());
    copyResources(body.capacity(), report.mutable_capacity());
    for (const auto &task : body.tasks()) {
        TaskId id;
        const auto state = readState(task.state());
        if (!parseTaskId(task.task(), &id))
            return invalid("tasks.task", "must have the form j12/7");
        if (!state)
            return invalid("tasks.state", "unknown state " + task.state());
        if (auto error = checkRange(task.epoch(), 0, UINT32_MAX, "tasks.epoch"))
            return fail(*error);
        if (auto error = checkResources(task.usage(), "tasks.usage", 0))
            return fail(*error);
        schema::TaskReport *row = report.add_tasks();
        row->set_job(id.job.value());
        row->set_task(id.index);
        row->set_epoch(static_cast<uint32_t>(task.epoch()));
        row->set_state(*state);
        row->set_reason(task.reason().substr(0, MaxReasonBytes));
        copyResources(task.usage(), row->mutable_usage());
    }
    return report;
}

schema::WorkerReplyBody writeWorkerReply(const schema::WorkerOrders &orders, bool withStarts)
{
    schema::WorkerReplyBody body;
    body.set_lease_ms(static_cast<uint32_t>(WorkerLease.count()));
    body.set_wait_ms(static_cast<uint32_t>(MaxWorkerPollWait.count()));
    for (const auto &start : orders.start()) {
        if (!withStarts)
            break;
        schema::StartBody *row = body.add_start();
        row->set_task(toText(TaskId{ JobId(start.job()), start.task() }));
        row->set_epoch(start.epoch());
        row->set_team(start.team());
        row->mutable_per_task()->set_millicores(
            static_cast<int64_t>(start.per_task().millicores()));
        row->mutable_per_task()->set_memory_mb(static_cast<uint32_t>(start.per_task().memory_mb()));
        row->mutable_per_task()->set_accelerators(
            static_cast<uint32_t>(start.per_task().accelerators()));
        *row->mutable_command() = start.command();
    }
    writeOrders(orders.stop(), [&body] { return body.add_stop(); });
    writeOrders(orders.checkpoint(), [&body] { return body.add_checkpoint(); });
    writeOrders(orders.throttle(), [&body] { return body.add_throttle(); });
    return body;
}

Result<schema::Announcement> readAnnouncement(const schema::AnnounceBody &body)
{
    if (auto error = checkName(body.id(), "id"))
        return fail(*error);
    if (auto error = checkName(body.zone(), "zone"))
        return fail(*error);
    if (auto error = checkName(body.pool(), "pool"))
        return fail(*error);
    if (const auto problem = settings::checkFormat(body.address(), schema::ADDRESS))
        return invalid("address", *problem);
    if (auto error = checkRange(body.incarnation(), 0, INT64_MAX, "incarnation"))
        return fail(*error);
    if (auto error = checkRange(body.slots(), 0, MaxSlots, "slots"))
        return fail(*error);
    if (auto error = checkRange(body.connections(), 1, MaxConnections, "connections"))
        return fail(*error);
    if (body.running_size() > MaxRunningEntries)
        return invalid("running", "too many entries");
    schema::Announcement announcement;
    announcement.set_id(body.id());
    announcement.set_incarnation(static_cast<uint64_t>(body.incarnation()));
    announcement.set_address(body.address());
    announcement.set_zone(body.zone());
    announcement.set_pool(body.pool());
    announcement.set_slots(static_cast<uint32_t>(body.slots()));
    announcement.set_connections(static_cast<uint32_t>(body.connections()));
    announcement.set_leaving(body.leaving());
    for (const auto &running : body.running()) {
        if (auto error = checkName(running.entry(), "running.entry"))
            return fail(*error);
        if (auto error = checkRange(running.count(), 0, MaxConnections, "running.count"))
            return fail(*error);
        (*announcement.mutable_running())[running.entry()] = static_cast<uint32_t>(running.count());
    }
    return announcement;
}

Result<schema::JobSpec> readJob(const schema::JobBody &body)
{
    if (auto error = checkName(body.name(), "name"))
        return fail(*error);
    const auto jobClass = readJobClass(body.job_class());
    if (!jobClass)
        return invalid("class", "must be service, batch or gang");
    const auto spread = readSpread(body.spread());
    if (!spread)
        return invalid("spread", "must be none, zone or rack");
    if (auto error = checkRange(body.tasks(), 1, MaxTasks, "tasks"))
        return fail(*error);
    if (auto error = checkResources(body.per_task(), "perTask", 1))
        return fail(*error);
    if (auto error = checkRange(body.estimate_ms(), 0, MaxEstimateMs, "estimateMs"))
        return fail(*error);
    if (auto error = checkRange(body.retry_limit(), 0, MaxRetryLimit, "retryLimit"))
        return fail(*error);
    size_t bytes = 0;
    for (const auto &word : body.command())
        bytes += word.size();
    if (body.command_size() > MaxCommandWords || bytes > MaxCommandBytes)
        return invalid("command", "too long");
    schema::JobSpec spec;
    spec.set_name(body.name());
    spec.set_job_class(*jobClass);
    spec.set_spread(*spread);
    spec.set_tasks(static_cast<uint32_t>(body.tasks()));
    spec.set_urgent(body.urgent());
    copyResources(body.per_task(), spec.mutable_per_task());
    spec.set_estimate_ms(static_cast<uint64_t>(body.estimate_ms()));
    spec.set_checkpointable(body.checkpointable());
    spec.set_retry_limit(static_cast<uint32_t>(body.retry_limit()));
    *spec.mutable_command() = body.command();
    return spec;
}

} // namespace basilgap::entry
