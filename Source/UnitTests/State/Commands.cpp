#include "UnitTests/State/Commands.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "Cell.pb.h"

namespace basilgap::state {

namespace {

constexpr uint64_t StampMs = 1'000'000;

std::string randomName(const std::string &prefix, int count)
{
    return prefix + std::to_string(*rc::gen::inRange(1, count + 1));
}

} // namespace

schema::Command applyCellCommand(uint64_t version, const std::string &hash)
{
    schema::CellConfig config;
    config.set_version(version);
    for (const char *zone : { "z1", "z2", "z3" })
        config.add_zones(zone);
    config.add_teams()->set_name("ghat");
    schema::Command command;
    command.set_stamp_ms(StampMs);
    command.mutable_apply_cell()->set_config(config.SerializeAsString());
    command.mutable_apply_cell()->set_hash(hash);
    return command;
}

schema::Command zoneCommand(const std::string &zone, bool out, const std::string &operation)
{
    schema::Command command;
    command.set_stamp_ms(StampMs);
    command.mutable_zone()->set_zone(zone);
    command.mutable_zone()->set_out(out);
    command.mutable_zone()->set_operation_id(operation);
    return command;
}

schema::Command openSessionCommand(const std::string &entry, uint64_t incarnation)
{
    schema::Command command;
    command.mutable_open_session()->set_entry(entry);
    command.mutable_open_session()->set_incarnation(incarnation);
    return command;
}

schema::Command claimCommand(
    const std::string &key, const std::string &body, const std::string &entry, uint64_t incarnation)
{
    schema::Command command;
    command.set_stamp_ms(StampMs);
    schema::ClaimOpen *open = command.mutable_claim_open();
    open->set_team("ghat");
    open->set_key_hash(key);
    open->set_body_hash(body);
    open->set_entry(entry);
    open->set_entry_incarnation(incarnation);
    return command;
}

schema::Command claimEndCommand(const std::string &key, const std::string &entry)
{
    schema::Command command;
    command.set_stamp_ms(StampMs);
    schema::ClaimEnd *end = command.mutable_claim_end();
    end->set_team("ghat");
    end->set_key_hash(key);
    end->set_entry(entry);
    end->set_not_run(true);
    return command;
}

schema::Command submitCommand(const std::string &team, uint32_t tasks, const std::string &key)
{
    schema::Command command;
    command.set_stamp_ms(StampMs);
    schema::SubmitJob *submit = command.mutable_submit_job();
    submit->set_team(team);
    submit->set_key_hash(key);
    submit->set_body_hash(std::to_string(tasks));
    submit->mutable_spec()->set_name("job");
    submit->mutable_spec()->set_tasks(tasks);
    submit->mutable_spec()->set_retry_limit(2);
    submit->mutable_spec()->mutable_per_task()->set_millicores(1000);
    submit->mutable_spec()->mutable_per_task()->set_memory_mb(512);
    return command;
}

schema::Command startCommand(uint64_t job, uint32_t task, uint32_t worker)
{
    schema::Command command;
    command.set_stamp_ms(StampMs);
    schema::TaskStarts *starts = command.mutable_tasks()->mutable_starts();
    starts->add_job(static_cast<int64_t>(job));
    starts->add_task(static_cast<int32_t>(task));
    starts->add_worker(worker);
    return command;
}

schema::Command endCommand(uint64_t job, uint32_t task, schema::TaskEnd end)
{
    schema::Command command;
    command.set_stamp_ms(StampMs);
    schema::TaskEnds *ends = command.mutable_tasks()->mutable_ends();
    ends->add_job(static_cast<int64_t>(job));
    ends->add_task(static_cast<int32_t>(task));
    ends->add_end(end);
    return command;
}

schema::Command randomCommand()
{
    const auto job = *rc::gen::inRange<uint64_t>(1, 6);
    const auto task = *rc::gen::inRange<uint32_t>(0, 4);
    schema::Command command;
    switch (*rc::gen::inRange(0, 11)) {
    case 0:
        command = applyCellCommand(*rc::gen::inRange<uint64_t>(1, 8), randomName("hash", 2));
        break;
    case 1:
        command = zoneCommand(
            randomName("z", 4), *rc::gen::arbitrary<bool>(), randomName("operation", 5));
        break;
    case 2:
        command = openSessionCommand(randomName("e", 3), *rc::gen::inRange<uint64_t>(1, 4));
        break;
    case 3:
        command.mutable_close_session()->set_entry(randomName("e", 3));
        command.mutable_close_session()->set_incarnation(*rc::gen::inRange<uint64_t>(1, 4));
        break;
    case 4: {
        schema::AllotmentBatch *batch = command.mutable_allotments();
        const auto key = *rc::gen::inRange<uint32_t>(1, 5);
        batch->add_keys()->set_key(key);
        batch->mutable_keys(0)->set_name("key" + std::to_string(key));
        schema::AllotmentChange *change = batch->add_changes();
        change->set_key(key);
        change->set_entry(*rc::gen::inRange<uint32_t>(1, 4));
        change->set_amount(*rc::gen::inRange<uint32_t>(0, 3));
        if (*rc::gen::arbitrary<bool>())
            batch->add_dropped_keys(*rc::gen::inRange<uint32_t>(1, 5));
        break;
    }
    case 5:
        command = claimCommand(randomName("key", 4), randomName("body", 2), randomName("e", 3), 1);
        break;
    case 6:
        command.mutable_claim_end()->set_team("ghat");
        command.mutable_claim_end()->set_key_hash(randomName("key", 4));
        command.mutable_claim_end()->set_entry(randomName("e", 3));
        command.mutable_claim_end()->set_not_run(*rc::gen::arbitrary<bool>());
        break;
    case 7:
        command = submitCommand(
            randomName("team", 3), *rc::gen::inRange<uint32_t>(1, 5), randomName("job", 9));
        break;
    case 8:
        command.mutable_cancel_jobs()->add_jobs(job);
        break;
    case 9:
        command = startCommand(job, task, *rc::gen::inRange<uint32_t>(1, 4));
        break;
    default:
        command = endCommand(job, task,
            *rc::gen::element(schema::TASK_DONE, schema::TASK_FAILED, schema::TASK_LOST,
                schema::TASK_CHECKPOINTED));
        if (*rc::gen::inRange(0, 4) == 0)
            command.mutable_expire();
        break;
    }
    command.set_stamp_ms(*rc::gen::inRange<uint64_t>(StampMs, StampMs + 200'000'000));
    return command;
}

} // namespace basilgap::state
