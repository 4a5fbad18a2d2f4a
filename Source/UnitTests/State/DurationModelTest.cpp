#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "Basilgap/State/CellState.h"

namespace basilgap::state {
namespace {

// Runs of one queue, with names that outlive the subjects.
struct Runs
{
    std::string queue = "queue";
    std::string account = "team";
    schema::StepSpec spec;
    uint64_t nextWork = 1;

    Runs(uint64_t millicores, uint64_t estimateMs)
    {
        spec.set_millicores(millicores);
        spec.set_estimate_ms(estimateMs);
    }

    DurationSubject subject() const { return { queue, account, spec }; }

    void record(DurationModel *model, uint64_t duration, std::string_view kind = {},
        bool isCensored = false)
    {
        model->record({ .subject = subject(),
            .workerKind = kind,
            .work = nextWork++,
            .duration = duration,
            .isCensored = isCensored });
    }
};

double logError(uint64_t forecast, double actual)
{
    return std::abs(std::log(static_cast<double>(forecast) / actual));
}

TEST(DurationModel, knowsNothingAtFirst)
{
    EXPECT_FALSE(DurationModel().forecast(Runs(1000, 500).subject()));
    EXPECT_FALSE(DurationModel().kindRatio("fast"));
}

// Estimates that are wrong by the same factor everywhere are corrected by it.
TEST(DurationModel, correctsEstimatesByTheirUsualRatio)
{
    for (const double factor : { 0.1, 0.5, 2.0, 10.0 }) {
        DurationModel model;
        std::mt19937 random(5);
        std::normal_distribution<double> spread(0, 0.2);
        Runs runs(9000, 0);
        for (int i = 0; i < 200; i++) {
            runs.spec.set_estimate_ms(200 + random() % 10000);
            const double actual = static_cast<double>(runs.spec.estimate_ms()) * factor;
            runs.record(&model, static_cast<uint64_t>(actual * std::exp(spread(random))));
        }
        runs.spec.set_estimate_ms(3000);
        const DurationQuantiles forecast = *model.forecast(runs.subject());
        EXPECT_LT(logError(forecast.median, 3000 * factor), 0.15) << factor;
        EXPECT_LT(forecast.low, forecast.median);
        EXPECT_LT(forecast.median, forecast.high);
    }
}

// Estimates that are wrong by 2 to 10 times either way say nothing; the durations themselves do.
TEST(DurationModel, ignoresUselessEstimates)
{
    DurationModel model;
    std::mt19937 random(6);
    std::uniform_real_distribution<double> factor(std::log(2), std::log(10));
    std::normal_distribution<double> spread(0, 0.25);
    Runs runs(18000, 0);
    std::vector<double> forecastErrors;
    std::vector<double> estimateErrors;
    for (int i = 0; i < 500; i++) {
        const double sign = random() % 2 == 0 ? 1 : -1;
        runs.spec.set_estimate_ms(static_cast<uint64_t>(3800 * std::exp(sign * factor(random))));
        const auto actual = static_cast<uint64_t>(3800 * std::exp(spread(random)));
        if (i >= 50) {
            forecastErrors.push_back(
                logError(model.forecast(runs.subject())->median, static_cast<double>(actual)));
            estimateErrors.push_back(
                logError(runs.spec.estimate_ms(), static_cast<double>(actual)));
        }
        runs.record(&model, actual);
    }
    std::sort(forecastErrors.begin(), forecastErrors.end());
    std::sort(estimateErrors.begin(), estimateErrors.end());
    EXPECT_LT(forecastErrors[225], 0.25);
    EXPECT_GT(estimateErrors[225], 1.0);
    runs.spec.set_estimate_ms(0);
    EXPECT_LT(logError(model.forecast(runs.subject())->median, 3800), 0.15);
}

// Guards against a few odd runs of one account deciding its forecast, and against many runs of its
// own counting for too little.
TEST(DurationModel, fewRunsAreDrawnTowardsTheWiderGroup)
{
    DurationModel model;
    Runs common(4000, 0);
    for (int i = 0; i < 200; i++)
        common.record(&model, 1000);
    Runs other(4000, 0);
    other.account = "other";
    EXPECT_LT(logError(model.forecast(other.subject())->median, 1000), 0.15);
    for (int i = 0; i < 3; i++)
        other.record(&model, 8000);
    EXPECT_LT(logError(model.forecast(other.subject())->median, 1000), 0.15);
    for (int i = 0; i < 40; i++)
        other.record(&model, 8000);
    EXPECT_LT(logError(model.forecast(other.subject())->median, 8000), 0.15);
    EXPECT_LT(logError(model.forecast(common.subject())->median, 1000), 0.15);
}

TEST(DurationModel, sizesImagesAndGangsAreForecastApart)
{
    DurationModel model;
    Runs small(1000, 0);
    Runs large(9000, 0);
    Runs image(9000, 0);
    image.spec.set_image("renderer");
    Runs gang(9000, 0);
    gang.spec.set_gang(true);
    for (int i = 0; i < 100; i++) {
        small.record(&model, 200);
        large.record(&model, 2000);
        image.record(&model, 20000);
        gang.record(&model, 100000);
    }
    EXPECT_LT(logError(model.forecast(small.subject())->median, 200), 0.15);
    EXPECT_LT(logError(model.forecast(large.subject())->median, 2000), 0.15);
    EXPECT_LT(logError(model.forecast(image.subject())->median, 20000), 0.15);
    EXPECT_LT(logError(model.forecast(gang.subject())->median, 100000), 0.15);
}

TEST(DurationModel, followsAShiftOfLevel)
{
    DurationModel model;
    Runs runs(4000, 1000);
    for (int i = 0; i < 400; i++)
        runs.record(&model, 900 + static_cast<uint64_t>(i) % 7 * 30);
    for (int i = 0; i < 50; i++)
        runs.record(&model, 3600 + static_cast<uint64_t>(i) % 7 * 120);
    EXPECT_LT(logError(model.forecast(runs.subject())->median, 3960), 0.2);
}

TEST(DurationModel, stoppedRunsRaiseTheForecast)
{
    DurationModel model;
    Runs runs(4000, 1000);
    for (uint64_t i = 0; i < 60; i++)
        runs.record(&model, 1000 + i % 10 * 200);
    const uint64_t before = model.forecast(runs.subject())->median;
    for (int i = 0; i < 60; i++)
        runs.record(&model, 2500, {}, true);
    EXPECT_GT(model.forecast(runs.subject())->median, before);
}

TEST(DurationModel, learnsHowFastKindsOfWorkersAre)
{
    DurationModel model;
    Runs runs(4000, 0);
    for (int i = 0; i < 300; i++) {
        const bool isSlow = i % 3 == 0;
        runs.record(&model, isSlow ? 1300 : 1000, isSlow ? "old" : "new");
    }
    const auto slow = static_cast<double>(*model.kindRatio("old"));
    const auto fast = static_cast<double>(*model.kindRatio("new"));
    EXPECT_NEAR(slow / fast, 1.3, 0.2);
    EXPECT_FALSE(model.kindRatio("unknown"));
}

// A replica that continues from a snapshot must stay equal to one that has applied every record.
TEST(DurationModel, savedStateContinuesInTheSameWay)
{
    DurationModel model;
    std::mt19937 random(7);
    const auto recordSome = [](DurationModel *target, std::mt19937 *numbers) {
        for (int i = 0; i < 2000; i++) {
            Runs runs(uint64_t{ 500 } << ((*numbers)() % 6), (*numbers)() % 3 * 700);
            runs.queue = "queue" + std::to_string((*numbers)() % 4);
            runs.account = "team" + std::to_string((*numbers)() % 60);
            runs.nextWork = (*numbers)() % 100;
            const uint64_t duration = 1 + (*numbers)() % 20000;
            runs.record(
                target, duration, (*numbers)() % 2 == 0 ? "old" : "new", (*numbers)() % 5 == 0);
        }
    };
    recordSome(&model, &random);
    DurationModel restored;
    restored.restore(model.save());
    EXPECT_EQ(restored.save(), model.save());
    std::mt19937 again = random;
    recordSome(&model, &random);
    recordSome(&restored, &again);
    EXPECT_EQ(restored.save(), model.save());
    EXPECT_EQ(model.groups(), DurationModel::MaxGroups);
}

TEST(DurationModel, aDamagedStateGivesAnEmptyModel)
{
    DurationModel model;
    Runs runs(1000, 100);
    for (int i = 0; i < 50; i++)
        runs.record(&model, 500);
    const std::string saved = model.save();
    for (size_t length = 0; length < saved.size(); length++) {
        DurationModel restored;
        restored.restore(saved.substr(0, length));
        EXPECT_LE(restored.groups(), 4U);
    }
    std::mt19937 random(8);
    for (int i = 0; i < 2000; i++) {
        std::string damaged = saved;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        DurationModel restored;
        restored.restore(damaged);
        restored.forecast(runs.subject());
        Runs more(1000, 100);
        more.record(&restored, 500);
        EXPECT_LE(restored.groups(), 9U);
    }
    DurationModel restored;
    restored.restore("not a model");
    EXPECT_EQ(restored.groups(), 0U);
    EXPECT_EQ(restored.runs(), 0U);
}

// Guards against a state that grows with the number of accounts and outgrows its part of the
// snapshot: 64 KB, even if every duration is a different one.
TEST(DurationModel, staysBelow64KilobytesInTheSnapshot)
{
    DurationModel model;
    std::mt19937_64 random(9);
    std::uniform_real_distribution<double> exponent(0, 24);
    for (int i = 0; i < 300000; i++) {
        Runs runs(500, 0);
        runs.queue = "queue" + std::string(60, 'x') + std::to_string(random() % 3);
        runs.account = "account" + std::string(60, 'x') + std::to_string(random() % 110);
        runs.spec.set_image(std::string(200, 'i'));
        runs.spec.set_estimate_ms(static_cast<uint64_t>(std::exp2(exponent(random))));
        runs.nextWork = random();
        runs.record(&model, static_cast<uint64_t>(std::exp2(exponent(random))), "kind");
    }
    EXPECT_GT(model.groups(), 300U);
    EXPECT_LT(model.save().size(), 65536U);
}

// The cell of the customers: 60 accounts in three queues, 1100 workers of six kinds.
TEST(DurationModel, aLargeCellTakesLittleOfTheSnapshot)
{
    DurationModel model;
    std::mt19937 random(10);
    std::normal_distribution<double> spread(0, 0.5);
    for (int i = 0; i < 200000; i++) {
        Runs runs(i % 2 == 0 ? 8900 : 18000, i % 2 == 0 ? 800 : 3800);
        runs.queue = std::array{ "urgent", "deferrable", "services" }[random() % 3];
        runs.account = "account" + std::to_string(random() % 60);
        runs.nextWork = random();
        const std::string kind = "kind" + std::to_string(random() % 6);
        const double actual = static_cast<double>(runs.spec.estimate_ms());
        runs.record(&model, static_cast<uint64_t>(actual * std::exp(spread(random))), kind);
    }
    RecordProperty("bytes", static_cast<int>(model.save().size()));
    EXPECT_LT(model.save().size(), 65536U);
}

schema::RunBatch startOf(uint32_t index, uint32_t run, uint32_t worker = 1)
{
    schema::RunBatch batch;
    schema::RunStart *start = batch.add_starts();
    start->set_work(1);
    start->set_index(index);
    start->set_run(run);
    start->set_worker(worker);
    return batch;
}

schema::RunBatch endOf(uint32_t index, uint32_t run, schema::RunOutcome outcome,
    std::optional<uint64_t> durationMs, const std::string &checkpoint = {})
{
    schema::RunBatch batch;
    schema::RunEnd *end = batch.add_ends();
    end->set_work(1);
    end->set_index(index);
    end->set_run(run);
    end->set_outcome(outcome);
    end->set_checkpoint(checkpoint);
    if (durationMs)
        end->set_duration_ms(*durationMs);
    return batch;
}

class DurationRecords : public testing::Test
{
protected:
    void submit(const std::function<void(schema::StepSpec *)> &change = [](schema::StepSpec *) {})
    {
        schema::SubmitWork command;
        command.set_id("job");
        command.set_queue("queue");
        command.set_account("team");
        command.set_max_attempts(10);
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(4);
        step->set_millicores(1000);
        change(step);
        table.submit(command, 1);
    }

    std::optional<DurationQuantiles> forecast() const
    {
        return table.durations().forecast(
            durationSubjectOf(*table.find("job"), { WorkSerial(1), 0, 0 }));
    }

    WorkTable table;
};

TEST_F(DurationRecords, theRecordOfAnEndCarriesTheDuration)
{
    submit();
    table.apply(startOf(0, 1), 1000);
    table.apply(endOf(0, 1, schema::RUN_DONE, 2000), 9000);
    EXPECT_EQ(table.durations().runs(), 1U);
    EXPECT_LT(logError(forecast()->median, 2000), 0.2);
}

// Records of a leader of an earlier version, as during an upgrade.
TEST_F(DurationRecords, withoutADurationTheTimesOfTheTableCount)
{
    submit();
    table.apply(startOf(0, 1), 1000);
    table.apply(endOf(0, 1, schema::RUN_DONE, std::nullopt), 9000);
    EXPECT_LT(logError(forecast()->median, 8000), 0.2);
    table.apply(startOf(1, 1), 1000);
    table.apply(endOf(1, 1, schema::RUN_LOST, std::nullopt), 9000);
    table.apply(startOf(2, 1), 1000);
    table.apply(endOf(2, 1, schema::RUN_DONE, 0), 9000);
    EXPECT_EQ(table.durations().runs(), 1U) << "not measured";
}

TEST_F(DurationRecords, anEndThatIsAppliedTwiceCountsOnce)
{
    submit();
    table.apply(startOf(0, 1), 1000);
    table.apply(endOf(0, 1, schema::RUN_DONE, 500), 2000);
    table.apply(endOf(0, 1, schema::RUN_DONE, 500), 2000);
    EXPECT_EQ(table.durations().runs(), 1U);
}

// Guards against forecasts that are too short: a resumed run does only the rest of its task.
TEST_F(DurationRecords, resumedRunsAreNotCounted)
{
    submit([](schema::StepSpec *step) { step->set_checkpointing(true); });
    table.apply(startOf(0, 1), 1000);
    table.apply(endOf(0, 1, schema::RUN_STOPPED, 500, "half"), 2000);
    EXPECT_EQ(table.durations().runs(), 1U) << "the first run is a lower bound";
    EXPECT_GE(forecast()->median, 500U);
    table.apply(startOf(0, 2), 3000);
    table.apply(endOf(0, 2, schema::RUN_DONE, 100), 4000);
    EXPECT_EQ(table.durations().runs(), 1U);
}

TEST_F(DurationRecords, failedAndBrokenRunsAreNotCounted)
{
    submit();
    uint32_t run = 0;
    for (const auto outcome : { schema::RUN_FAILED, schema::RUN_BROKEN, schema::RUN_ALONE }) {
        table.apply(startOf(0, ++run), 1000);
        table.apply(endOf(0, run, outcome, 500), 2000);
    }
    EXPECT_EQ(table.durations().runs(), 0U);
}

// The speed of a backfill task is limited, and a service runs until it is cancelled.
TEST_F(DurationRecords, backfillAndServicesAreNotCounted)
{
    submit([](schema::StepSpec *step) { step->set_backfill(true); });
    table.apply(startOf(0, 1), 1000);
    table.apply(endOf(0, 1, schema::RUN_DONE, 500), 2000);
    WorkTable services;
    std::swap(table, services);
    submit([](schema::StepSpec *step) { step->set_service(true); });
    table.apply(startOf(0, 1), 1000);
    table.apply(endOf(0, 1, schema::RUN_DONE, 500), 2000);
    EXPECT_EQ(table.durations().runs() + services.durations().runs(), 0U);
}

TEST_F(DurationRecords, aGangCountsOnce)
{
    submit([](schema::StepSpec *step) { step->set_gang(true); });
    for (uint32_t i = 0; i < 4; i++)
        table.apply(startOf(i, 1), 1000);
    table.apply(endOf(0, 1, schema::RUN_STOPPED, 300), 2000);
    EXPECT_EQ(table.durations().runs(), 0U);
    table.apply(endOf(1, 1, schema::RUN_DONE, 500), 2000);
    table.apply(endOf(2, 1, schema::RUN_DONE, 500), 2000);
    EXPECT_EQ(table.durations().runs(), 1U);
}

TEST_F(DurationRecords, snapshotsCarryTheModelAndSurviveDamageToIt)
{
    submit();
    table.apply(startOf(0, 1), 1000);
    table.apply(endOf(0, 1, schema::RUN_DONE, 500), 2000);
    schema::WorkSnapshot snapshot = table.save();
    WorkTable restored;
    restored.restore(snapshot);
    EXPECT_EQ(restored.save().SerializeAsString(), snapshot.SerializeAsString());
    EXPECT_EQ(restored.durations().runs(), 1U);
    for (const std::string &damaged : { std::string(), std::string("\xff\xfe damaged") }) {
        snapshot.set_duration_model(damaged);
        schema::WorkSnapshot parsed;
        ASSERT_TRUE(parsed.ParseFromString(snapshot.SerializeAsString()));
        restored.restore(parsed);
        EXPECT_EQ(restored.durations().runs(), 0U);
        EXPECT_EQ(restored.find("job")->occurrences[0][0].done, 1U);
    }
}

} // namespace
} // namespace basilgap::state
