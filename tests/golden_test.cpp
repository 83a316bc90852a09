// Tests that the recorded files are complete: every section belongs to an existing test, and every
// test of a Golden suite has a section.
#include "tests/golden.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <set>

namespace {

using namespace nickelramp::test;
using Names = std::set<std::string>;

constexpr const char* kThisSuite = "GoldenNet";

// Returns the names of all tests by the file of their suite.
std::map<std::string, Names> tests_by_file() {
    std::map<std::string, Names> out;
    const testing::UnitTest& all = *testing::UnitTest::GetInstance();
    for (int i = 0; i < all.total_test_suite_count(); ++i) {
        const testing::TestSuite& suite = *all.GetTestSuite(i);
        if (std::string(suite.name()).rfind("Golden", 0) != 0 ||
            suite.name() == std::string(kThisSuite))
            continue;
        for (int k = 0; k < suite.total_test_count(); ++k)
            out[golden::file_of(suite.name())].insert(suite.GetTestInfo(k)->name());
    }
    return out;
}

TEST(GoldenNet, EverySectionHasATestAndEveryTestASection) {
    if (golden::recording()) GTEST_SKIP() << "the files are being written";
    const auto expected = tests_by_file();
    Names files;
    for (const auto& entry : std::filesystem::directory_iterator(
             std::filesystem::path(golden::file_of("GoldenAny")).parent_path()))
        files.insert(entry.path().string());
    for (const std::string& file : files)
        EXPECT_EQ(expected.count(file), 1u) << file << " belongs to no suite";
    for (const auto& [file, tests] : expected) {
        EXPECT_EQ(files.count(file), 1u) << file << " is missing";
        Names sections;
        for (const auto& [test, section] : golden::load(file)) {
            sections.insert(test);
            EXPECT_FALSE(section.empty()) << test << " in " << file << " is empty";
        }
        EXPECT_EQ(sections, tests) << file;
    }
}

TEST(GoldenNet, ShownBytesAreReadBackAsTheyWere) {
    std::string all;
    for (int i = 0; i < 256; ++i) all += static_cast<char>(i);
    EXPECT_EQ(golden::parse_shown_bytes(golden::shown_bytes(all)), all);
    EXPECT_EQ(golden::shown_text("a\n\\b\x01\n"), "a\\n\n\\\\b\\x01\\n");
}

TEST(GoldenNet, TextsThatDifferAreShownDifferently) {
    const std::string texts[] = {"", "a", "a\n", "a\\n", "\na", "a\n\n", "a\r", "a "};
    Names shown;
    for (const std::string& text : texts) shown.insert(golden::shown_text(text));
    EXPECT_EQ(shown.size(), std::size(texts));
}

}  // namespace
