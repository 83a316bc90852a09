// Recorded bytes of everything that leaves a process: records in the state service, messages
// between controllers, to workers and to the cloud, and answers to users and operators.
//
// The tests of the suites Golden* produce these outputs in small deterministic scenarios and
// compare them with the files under tests/golden/, one file a suite and one section a test. A
// failure means that a format has changed, so that controllers of different versions, stored
// records, workers or users would not understand each other. An intended change is recorded anew
// with
//
//   NICKELRAMP_RECORD_GOLDEN=1 nickelramp_tests --gtest_filter='Golden*'
//
// and its difference is reviewed like any other change of an interface. Entries that are missing,
// that differ, or that no test produces any more are failures.
#pragma once
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kvstore/types.h"
#include "wire/cbor.h"

namespace nickelramp::test::golden {

// Entries by name, as they are written to the file.
using Section = std::map<std::string, std::string>;
// Sections by the name of their test.
using Sections = std::map<std::string, Section>;

bool recording();
// The file of a test suite: "GoldenPeers" is kept in tests/golden/peers.txt.
std::string file_of(const std::string& suite);
// No sections if there is no such file.
Sections load(const std::string& file);
void save(const std::string& file, const Sections& sections);

// The forms in which values are written to a file.
std::string shown_text(const std::string& text);    // escaped, a line for each line
std::string shown_bytes(const std::string& bytes);  // hexadecimal
std::string bytes_of_shown(const std::string& hexadecimal);
std::string shown_value(const wire::Json& value);  // JSON, and the CBOR bytes below it
std::string shown_transaction(const kvstore::Transaction& transaction);

// A test whose outputs are compared with its section when it ends.
class Recorded : public testing::Test {
  protected:
    void TearDown() override;

    void text(const std::string& entry, const std::string& text);
    // Returns the recorded bytes, so that readers are tested with what earlier versions wrote.
    std::string bytes(const std::string& entry, const std::string& bytes);
    void value(const std::string& entry, const wire::Json& value);
    void transaction(const std::string& entry, const kvstore::Transaction& transaction);

  private:
    void add(const std::string& entry, const std::string& shown);
    Section produced_;
};

}  // namespace nickelramp::test::golden
