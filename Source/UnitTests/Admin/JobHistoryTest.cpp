#include <gtest/gtest.h>

#include "Basilgap/Admin/JobHistory.h"

namespace basilgap::admin {
namespace {

constexpr const char *Job = "5c0e7a21d94b36f8";

std::string lineOf(int64_t time, const std::string &rest)
{
    return "time=" + std::to_string(time) + " process=c1 event=" + rest;
}

TEST(LogLine, parsesQuotedValuesAndSkipsACollectorsPrefix)
{
    const auto line = parseLogLine("  3.25 core-1 time=1003 process=c1 event=work-refused "
                                   "reason=\"body \\\"x\\\" large\" n=2\n");
    ASSERT_TRUE(line.has_value());
    EXPECT_EQ(line->timeMs, 1003);
    EXPECT_EQ(line->event, "work-refused");
    EXPECT_EQ(line->field("reason"), "body \"x\" large");
    EXPECT_EQ(line->field("n"), "2");
    EXPECT_EQ(line->field("other"), "");
    EXPECT_FALSE(parseLogLine("plain text").has_value());
    EXPECT_FALSE(parseLogLine("time=5 and so on").has_value());
}

TEST(JobHistory, listsTheEventsOfOneJobInOrder)
{
    const std::string work = std::string(" work=") + Job;
    JobHistory history(Job);
    history.add(lineOf(2100, "run-ended" + work + " step=0 task=0 run=1 outcome=RUN_FAILED"));
    history.add(lineOf(1000, "work-taken" + work + " queue=q"));
    history.add(lineOf(1050, "advice" + work + " step=0 ms=39"));
    history.add(lineOf(1060, "run-ordered" + work + " step=0 task=0 run=1"));
    history.add(lineOf(2130, "run-ordered" + work + " step=0 task=0 run=2"));
    history.add(lineOf(2900, "run-ended" + work + " step=0 task=0 run=2 outcome=RUN_DONE"));
    history.add(lineOf(1010, "work-taken work=0000000000000000 queue=q"));
    history.add(std::string("time=990 process=e1 event=call-unanswered path=/q/") + Job);
    history.add(std::string("time=991 process=e1 event=other note=") + Job);
    const std::string text = history.text();
    EXPECT_EQ(text.find("0.000 s  e1  call-unanswered"), 0U) << text;
    EXPECT_NE(text.find("0.010 s  c1  work-taken queue=q\n"), std::string::npos) << text;
    EXPECT_EQ(text.find("event=other"), std::string::npos);
    EXPECT_NE(
        text.find("step 0: 2 starts from 0.070 s, last end at 1.910 s, 1 RUN_DONE, 1 RUN_FAILED,"
                  " 1 calls for advice of up to 39 ms\n"),
        std::string::npos)
        << text;
}

TEST(JobHistory, isEmptyForAJobWithoutLogLines)
{
    JobHistory history(Job);
    history.add(lineOf(1, "started zone=z1"));
    EXPECT_TRUE(history.isEmpty());
    EXPECT_EQ(history.text(), "");
}

} // namespace
} // namespace basilgap::admin
