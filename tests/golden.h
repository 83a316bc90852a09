/// @file
/// Recorded bytes of everything that leaves a process: records in the state service, messages
/// between controllers, to workers and to the cloud, and answers to users and operators.
///
/// The tests of the suites Golden* produce these outputs in small deterministic scenarios and
/// compare them with the files under tests/golden/, with one file per suite and one section per
/// test. A failure means that a format has changed and may be incompatible with controllers of
/// other versions, stored records, workers or users. An intended change is recorded with
///
///   NICKELRAMP_RECORD_GOLDEN=1 nickelramp_tests --gtest_filter='Golden*'
///
/// and its diff is reviewed like any other interface change. Entries that are missing, that differ,
/// or that no test produces any more are failures.
#pragma once
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "kvstore/types.h"
#include "wire/cbor.h"

namespace nickelramp::test::golden {

/// Entries by name, in the form in which they are written to the file.
using Section = std::map<std::string, std::string>;
/// Sections by the name of their test.
using Sections = std::map<std::string, Section>;

/// Returns whether the outputs are recorded instead of compared.
bool recording();
/// Returns the file of a test suite: tests/golden/peers.txt for "GoldenPeers".
std::string file_of(const std::string& suite);
/// Returns no sections if the file does not exist.
Sections load(const std::string& file);
void save(const std::string& file, const Sections& sections);

// Conversions to and from the form in which values are written to a file.

/// Returns the text escaped, with its line breaks kept.
std::string shown_text(const std::string& text);
/// Returns the bytes in hexadecimal.
std::string shown_bytes(const std::string& bytes);
/// Reverses `shown_bytes()`.
std::string parse_shown_bytes(const std::string& hexadecimal);
/// Returns the value as JSON, followed by its CBOR bytes.
std::string shown_value(const wire::Json& value);
std::string shown_transaction(const kvstore::Transaction& transaction);

/// A test whose outputs are compared with its recorded section when it ends.
class Recorded : public testing::Test {
  protected:
    void TearDown() override;

    void text(const std::string& entry, const std::string& text);
    /// Returns the recorded bytes, so that decoders are tested with the output of earlier versions.
    std::string bytes(const std::string& entry, const std::string& bytes);
    void value(const std::string& entry, const wire::Json& value);
    void transaction(const std::string& entry, const kvstore::Transaction& transaction);

  private:
    void add(const std::string& entry, const std::string& shown);
    Section produced_;
};

}  // namespace nickelramp::test::golden
