#include <google/protobuf/stubs/logging.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/Entry/HttpBodies.h"
#include "Basilgap/Network/Json.h"

namespace basilgap::entry {

namespace {

const std::string Worker = R"({"id": "w1", "incarnation": 1, "zone": "z1", "rack": "r1",
    "sequence": 3, "capacity": {"millicores": 1000, "memoryMb": 1000, "accelerators": 0},
    "tasks": [{"task": "j1/0", "epoch": 1, "state": "running", "usage": {"millicores": 1}}]})";

const std::string Job = R"({"name": "job", "class": "batch", "tasks": 2,
    "perTask": {"millicores": 1000, "memoryMb": 100}, "command": ["sleep", "1"]})";

std::string invalidFieldOfJob(const std::string &from, const std::string &to)
{
    std::string text = Job;
    text.replace(text.find(from), from.size(), to);
    schema::JobBody body;
    EXPECT_TRUE(network::parseJson(text, network::UnknownFields::Refuse, &body).has_value());
    const auto spec = readJob(body);
    return spec ? "" : spec.error().peer;
}

void readAllFormats(const std::string &text)
{
    schema::WorkerBody worker;
    if (network::parseJson(text, network::UnknownFields::Ignore, &worker))
        readWorkerReport(worker);
    schema::AnnounceBody announce;
    if (network::parseJson(text, network::UnknownFields::Ignore, &announce))
        readAnnouncement(announce);
    schema::JobBody job;
    if (network::parseJson(text, network::UnknownFields::Refuse, &job))
        readJob(job);
}

} // namespace

TEST(HttpBodies, reportsTheInvalidFieldOfAJob)
{
    EXPECT_EQ(invalidFieldOfJob("\"tasks\": 2", "\"tasks\": 2"), "");
    EXPECT_EQ(invalidFieldOfJob("\"tasks\": 2", "\"tasks\": 0"), "tasks");
    EXPECT_EQ(invalidFieldOfJob("\"tasks\": 2", "\"tasks\": 99999999"), "tasks");
    EXPECT_EQ(invalidFieldOfJob("1000", "-1"), "perTask.millicores");
    EXPECT_EQ(
        invalidFieldOfJob("\"memoryMb\": 100", "\"memoryMb\": 99999999999"), "perTask.memoryMb");
    EXPECT_EQ(invalidFieldOfJob("batch", "other"), "class");
    EXPECT_EQ(invalidFieldOfJob("\"job\"", "\"" + std::string(65, 'j') + "\""), "name");
}

TEST(HttpBodies, readsWorkerReport)
{
    schema::WorkerBody body;
    ASSERT_TRUE(network::parseJson(Worker, network::UnknownFields::Ignore, &body).has_value());
    const auto report = readWorkerReport(body);
    ASSERT_TRUE(report.has_value()) << report.error().text();
    EXPECT_EQ(report->tasks(0).job(), 1U);
}

TEST(HttpBodies, writesNumbersAsJsonNumbers)
{
    schema::WorkerOrders orders;
    orders.add_start()->mutable_per_task()->set_millicores(2000);
    orders.add_throttle()->set_millicores(1500);
    const std::string json = network::toJson(writeWorkerReply(orders, true));
    EXPECT_NE(json.find("\"millicores\":2000"), std::string::npos) << json;
    EXPECT_NE(json.find("\"millicores\":1500"), std::string::npos) << json;
    schema::ApplyReplyBody applied;
    applied.set_version(9007199254740991);
    EXPECT_EQ(network::toJson(applied).find("\"version\":\""), std::string::npos);
}

RC_GTEST_PROP(HttpBodiesProperty, survivesRandomBytes, (const std::string &text))
{
    google::protobuf::SetLogHandler(nullptr);
    readAllFormats(text);
    RC_SUCCEED("no crash");
}

RC_GTEST_PROP(HttpBodiesProperty, survivesMutatedBodies, ())
{
    google::protobuf::SetLogHandler(nullptr);
    std::string text = *rc::gen::element(Worker, Job);
    for (int i = 0; i < 6; i++)
        text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    readAllFormats(text);
    RC_SUCCEED("no crash");
}

} // namespace basilgap::entry
