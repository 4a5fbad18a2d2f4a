#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include "Basilgap/Common/LineWriter.h"

namespace basilgap {
namespace {

// Provides a pipe that is read only by readAll().
class LineWriterTest : public testing::Test
{
protected:
    void SetUp() override { ASSERT_EQ(pipe(ends_), 0); }
    void TearDown() override
    {
        close(ends_[0]);
        close(ends_[1]);
    }

    std::string readAll()
    {
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char buffer[65536];
        for (ssize_t got = 0; (got = read(ends_[0], buffer, sizeof buffer)) > 0;)
            text.append(buffer, static_cast<size_t>(got));
        return text;
    }

    int ends_[2] = {};
};

TEST_F(LineWriterTest, fullPipeDropsLinesAndReportsHowMany)
{
    LineWriter writer({ .file = ends_[1], .maxPendingBytes = 10000 });
    const std::string line(999, 'x');
    for (int i = 0; i < 500; i++)
        writer.write(line);
    EXPECT_GT(writer.dropped(), 300U);
    const uint64_t dropped = writer.dropped();
    std::string text = readAll();
    writer.write("after");
    text += readAll();
    EXPECT_NE(text.find("event=lines-dropped of=all lines=" + std::to_string(dropped)),
        std::string::npos);
    EXPECT_NE(text.find("after\n"), std::string::npos);
}

TEST_F(LineWriterTest, eachEventHasItsOwnRateLimit)
{
    LineWriter writer({ .file = ends_[1], .linesPerSecond = 10 });
    int admitted = 0;
    for (int i = 0; i < 100; i++)
        admitted += writer.admit("busy", Millis(1000)) ? 1 : 0;
    EXPECT_EQ(admitted, 10);
    EXPECT_TRUE(writer.admit("rare", Millis(1000)));
    EXPECT_TRUE(writer.admit("busy", Millis(2001)));
    EXPECT_NE(readAll().find("event=lines-dropped of=busy lines=90"), std::string::npos);
}

} // namespace
} // namespace basilgap
