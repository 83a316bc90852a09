#include "tests/golden.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace nickelramp::test::golden {

namespace {
constexpr const char* kRecordVariable = "NICKELRAMP_RECORD_GOLDEN";
constexpr const char* kSuitePrefix = "Golden";
constexpr const char* kIndent = "    ";
constexpr std::size_t kIndentLength = 4;
constexpr std::size_t kBytesPerLine = 40;
constexpr const char* kDigits = "0123456789abcdef";

std::string hexadecimal(unsigned char byte) { return {kDigits[byte >> 4], kDigits[byte & 15]}; }

// Writes every line of the value, indented. Values never end with a line break.
void write_value(std::ostream& out, const std::string& shown) {
    std::istringstream lines(shown);
    for (std::string line; std::getline(lines, line);) out << kIndent << line << "\n";
}

const char* name_of(kvstore::RequestClass urgency) {
    switch (urgency) {
        case kvstore::RequestClass::election:
            return "first";
        case kvstore::RequestClass::user:
            return "user";
        case kvstore::RequestClass::control:
            return "control";
        case kvstore::RequestClass::background_urgent:
            return "pressing";
        case kvstore::RequestClass::background:
            return "work";
    }
    return "?";
}

const testing::TestInfo& current_test() {
    return *testing::UnitTest::GetInstance()->current_test_info();
}

Section recorded_section() {
    const Sections sections = load(file_of(current_test().test_suite_name()));
    const auto found = sections.find(current_test().name());
    return found == sections.end() ? Section() : found->second;
}
}  // namespace

bool recording() {
    const char* value = std::getenv(kRecordVariable);
    return value != nullptr && std::string(value) == "1";
}

std::string file_of(const std::string& suite) {
    std::string name = suite.substr(std::string(kSuitePrefix).size());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return std::string(NICKELRAMP_TESTS_FOLDER) + "/golden/" + name + ".txt";
}

// A line "[Test]" begins a section, any other line without indentation begins an entry, and
// indented lines are the value of the entry.
Sections load(const std::string& file) {
    Sections sections;
    std::ifstream in(file);
    std::string test, entry;
    for (std::string line; std::getline(in, line);) {
        if (line.empty()) continue;
        if (line.front() == '[') {
            test = line.substr(1, line.size() - 2);
            sections[test];
        } else if (line.rfind(kIndent, 0) != 0) {
            entry = line;
            sections[test][entry];
        } else {
            std::string& value = sections[test][entry];
            if (!value.empty()) value += "\n";
            value += line.substr(kIndentLength);
        }
    }
    return sections;
}

void save(const std::string& file, const Sections& sections) {
    std::ofstream out(file);
    const char* gap = "";
    for (const auto& [test, section] : sections) {
        out << gap << "[" << test << "]\n";
        gap = "\n";
        for (const auto& [entry, shown] : section) {
            out << entry << "\n";
            write_value(out, shown);
        }
    }
    ASSERT_TRUE(out.flush()) << "cannot write " << file;
}

std::string shown_text(const std::string& text) {
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '\n')
            out += "\\n\n";
        else if (c == '\\')
            out += "\\\\";
        else if (byte < 0x20 || byte >= 0x7f)
            out += "\\x" + hexadecimal(byte);
        else
            out += c;
    }
    if (!out.empty() && out.back() == '\n') out.pop_back();
    return out;
}

std::string shown_bytes(const std::string& bytes) {
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if (i > 0 && i % kBytesPerLine == 0) out += "\n";
        out += hexadecimal(static_cast<unsigned char>(bytes[i]));
    }
    return out;
}

std::string parse_shown_bytes(const std::string& shown) {
    std::string digits = shown, out;
    std::erase(digits, '\n');
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
        out += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
    return out;
}

std::string shown_value(const wire::Json& value) {
    return value.dump() + "\n" + shown_bytes(wire::encode(value));
}

std::string shown_transaction(const kvstore::Transaction& transaction) {
    std::string out = std::string("urgency ") + name_of(transaction.request_class);
    for (const kvstore::Condition& condition : transaction.conditions)
        out += "\nif " + condition.key + " is at " + std::to_string(condition.version);
    for (const kvstore::Write& write : transaction.writes) {
        if (!write.value) {
            out += "\ndelete " + write.key;
            continue;
        }
        out += "\nset " + write.key;
        if (write.lease_id != 0) out += " with lease " + std::to_string(write.lease_id);
        out.append("\n").append(shown_value(*write.value));
    }
    return out;
}

void Recorded::add(const std::string& entry, const std::string& shown) {
    EXPECT_TRUE(!entry.empty() && entry.find('\n') == std::string::npos &&
                entry.find_first_of("[ ") != 0)
        << "'" << entry << "' is not a valid entry name";
    EXPECT_TRUE(produced_.emplace(entry, shown).second) << entry << " is produced twice";
}

void Recorded::text(const std::string& entry, const std::string& text) {
    add(entry, shown_text(text));
}

std::string Recorded::bytes(const std::string& entry, const std::string& bytes) {
    add(entry, shown_bytes(bytes));
    if (recording()) return bytes;
    const Section recorded = recorded_section();
    const auto found = recorded.find(entry);
    return found == recorded.end() ? std::string() : parse_shown_bytes(found->second);
}

void Recorded::value(const std::string& entry, const wire::Json& value) {
    add(entry, shown_value(value));
}

void Recorded::transaction(const std::string& entry, const kvstore::Transaction& transaction) {
    add(entry, shown_transaction(transaction));
}

void Recorded::TearDown() {
    const std::string file = file_of(current_test().test_suite_name());
    if (recording()) {
        if (HasFailure()) return;
        Sections sections = load(file);
        sections[current_test().name()] = produced_;
        save(file, sections);
        return;
    }
    EXPECT_FALSE(produced_.empty()) << "this test produces no entries";
    const Section recorded = recorded_section();
    for (const auto& [entry, shown] : produced_) {
        const auto found = recorded.find(entry);
        if (found == recorded.end())
            ADD_FAILURE() << entry << " is not in " << file << ":\n" << shown;
        else
            EXPECT_EQ(shown, found->second) << entry << " differs from " << file;
    }
    for (const auto& [entry, shown] : recorded)
        EXPECT_EQ(produced_.count(entry), 1u) << entry << " in " << file << " is not produced";
}

}  // namespace nickelramp::test::golden
