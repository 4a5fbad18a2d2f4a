#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/Settings/CellFile.h"
#include "Basilgap/Settings/SettingsReference.h"
#include "Basilgap/Settings/YamlReader.h"
#include "Settings.pb.h"

namespace basilgap::settings {

namespace {

const std::string Sha = std::string(64, 'a');
const std::string OtherSha = std::string(64, 'b');

// A valid cell file in which `from` is replaced by `to`, to introduce an error.
std::string cellText(const std::string &from = "", const std::string &to = "")
{
    std::string text = "version: 12\n"
                       "replicas:\n"
                       "  - {id: r1, address: '127.0.0.1:7101', zone: z1}\n"
                       "zones: [z1, z2]\n"
                       "teams:\n"
                       "  - name: ghat\n"
                       "    share: 30\n"
                       "    limit: {slots: 120}\n"
                       "    keys: [{id: k1, sha256: "
        + Sha
        + "}]\n"
          "  - name: yard\n"
          "    keys: [{id: k1, sha256: "
        + OtherSha
        + "}]\n"
          "routes:\n"
          "  - {prefix: /desk, pool: desk, teams: [ghat]}\n";
    const size_t found = text.find(from);
    return from.empty() ? text : text.replace(found, from.size(), to);
}

std::string errorOf(const std::string &text)
{
    const auto config = readCellFile(text, "cell.yaml");
    return config ? "" : config.error().message;
}

} // namespace

TEST(CellFile, readsAValidFile)
{
    const auto config = readCellFile(cellText(), "cell.yaml");
    ASSERT_TRUE(config.has_value()) << config.error().message;
    EXPECT_EQ(config->teams(0).share(), 30U);
    EXPECT_EQ(config->teams(0).limit().slots(), 120U);
    EXPECT_EQ(config->routes(0).timeout_ms(), 30000U);
}

TEST(CellFile, reportsLineAndFieldOfEachError)
{
    EXPECT_EQ(errorOf(cellText("share: 30", "shaer: 30")), "line 7: teams[0].shaer: unknown key");
    EXPECT_EQ(
        errorOf(cellText("share: 30", "share: many")), "line 7: teams[0].share: must be a number");
    EXPECT_EQ(errorOf(cellText("share: 30", "share: -1")),
        "line 7: teams[0].share: must not be negative");
    EXPECT_EQ(errorOf(cellText("share: 30", "share: 2000000")),
        "line 7: teams[0].share: must be at most 1000000");
    EXPECT_EQ(errorOf(cellText("slots: 120", "slots: -4")),
        "line 8: teams[0].limit.slots: must not be negative");
    EXPECT_EQ(errorOf(cellText("name: yard", "name: ghat")), "line 10: teams[1]: duplicate ghat");
    EXPECT_EQ(
        errorOf(cellText("zones: [z1, z2]", "zones: [z1, z1]")), "line 4: zones[1]: duplicate z1");
    EXPECT_EQ(errorOf(cellText(OtherSha, Sha)), "line 9: teams.keys: duplicate key k1");
    EXPECT_EQ(errorOf(cellText("zone: z1", "zone: z9")), "line 3: replicas.zone: unknown zone z9");
    EXPECT_EQ(errorOf(cellText("teams: [ghat]", "teams: [boat]")),
        "line 13: routes.teams: unknown team boat");
    EXPECT_EQ(errorOf(cellText("version: 12\n", "")), "line 1: version: is missing");
    EXPECT_EQ(
        errorOf(cellText("version: 12", "version: 0")), "line 1: version: must be at least 1");
    EXPECT_EQ(errorOf(cellText("127.0.0.1:7101", "localhost")),
        "line 3: replicas[0].address: must be an IP number and a port, as in 127.0.0.1:7000");
    EXPECT_EQ(errorOf(cellText("share: 30", "share: 30\n    share: 31")),
        "line 8: teams[0].share: duplicate key");
    EXPECT_NE(errorOf(cellText("zones: [z1, z2]", "zones: [z1")), "");
}

TEST(CellFile, rejectsAFileAboveTheSizeLimit)
{
    EXPECT_EQ(errorOf(cellText() + "#" + std::string(MaxFileBytes, 'x')),
        "line 1: file: is larger than 4 MiB");
}

TEST(CellFile, canonicalBytesDoNotDependOnLayout)
{
    const auto one = readCellFile(cellText(), "a");
    const auto other = readCellFile("# a comment\n" + cellText("share: 30", "share:   30"), "b");
    EXPECT_EQ(canonicalBytes(*one), canonicalBytes(*other));
}

RC_GTEST_PROP(CellFileProperty, survivesMutatedBytes, ())
{
    std::string text = cellText();
    const int changes = *rc::gen::inRange(1, 20);
    for (int i = 0; i < changes; i++) {
        const size_t at = *rc::gen::inRange<size_t>(0, text.size());
        text[at] = *rc::gen::arbitrary<char>();
    }
    const auto config = readCellFile(text, "cell.yaml");
    RC_ASSERT(config.has_value() || !config.error().message.empty());
}

RC_GTEST_PROP(CellFileProperty, survivesRandomBytes, (const std::string &text))
{
    readCellFile(text, "cell.yaml");
    schema::EntrySettings settings;
    readYaml(text, "entry.yaml", &settings);
    RC_SUCCEED("no crash");
}

TEST(SettingsReference, isPartOfTheOperatorsPage)
{
    const auto page = readTextFile(BASILGAP_SOURCE_DIR "/docs/OPERATIONS.md");
    ASSERT_TRUE(page.has_value());
    EXPECT_NE(page->find(settingsReference()), std::string::npos)
        << "run: basilgapctl settings, and put its output into docs/OPERATIONS.md";
}

TEST(ExampleSettings, areValid)
{
    const std::string data = BASILGAP_SOURCE_DIR "/Data/";
    for (const char *file : { "board/cell.yaml", "stilewright/cell.yaml", "demo/cell.yaml" }) {
        const auto text = readTextFile(data + file);
        ASSERT_TRUE(text.has_value());
        const auto config = readCellFile(*text, file);
        EXPECT_TRUE(config.has_value()) << config.error().text();
    }
    schema::EntrySettings entry;
    EXPECT_TRUE(readYamlFile(data + "demo/entry.yaml", &entry).has_value());
    schema::ControlSettings control;
    EXPECT_TRUE(readYamlFile(data + "demo/control.yaml", &control).has_value());
}

TEST(SettingsReference, describesEveryField)
{
    const std::string reference = settingsReference();
    EXPECT_NE(reference.find("| `teams[].limit.slots` |"), std::string::npos);
    EXPECT_EQ(reference.find("|  |\n"), std::string::npos) << "a field has no meaning";
}

} // namespace basilgap::settings
