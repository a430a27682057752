#include "include/quetzal/jobs/RecordCell.h"
#include "include/quetzal/jobs/Records.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;

struct RecordCellFixture
{
  static std::string Record(const std::string& aCell)
  {
    jobs::JobSpec spec;
    spec.payload_ = "payload";
    spec.steps_.resize(3);
    return jobs::Encode(jobs::MakeJobRecord(aCell, { "q", "job1", spec, {} }, 7));
  }
};

BOOST_FIXTURE_TEST_SUITE(RecordCell, RecordCellFixture)

BOOST_AUTO_TEST_CASE(Record_OfAnyCell_NamesItsCell)
{
  BOOST_TEST(jobs::CellOf(Record("svc")).value() == "svc");
  BOOST_TEST(jobs::CellOf(Record("")).value().empty());
  const std::string longName(300, 's');
  BOOST_TEST(jobs::CellOf(Record(longName)).value() == longName);
}

BOOST_AUTO_TEST_CASE(Record_RestIsCutOff_IsNotDecodedPastTheCell)
{
  const std::string bytes = Record("svc");
  constexpr std::size_t kCellEnd = 5; // The array's byte, the string's byte, and three letters.
  for (std::size_t length = kCellEnd; length < bytes.size(); ++length) {
    BOOST_TEST(jobs::CellOf(bytes.substr(0, length)).value() == "svc");
  }
}

BOOST_AUTO_TEST_CASE(Bytes_NotARecord_NameNoCell)
{
  BOOST_TEST(!jobs::CellOf("").has_value());
  BOOST_TEST(!jobs::CellOf(Record("svc").substr(0, 3)).has_value());
  BOOST_TEST(!jobs::CellOf(jobs::Encode(std::string("svc"))).has_value());
  BOOST_TEST(!jobs::CellOf(jobs::Encode(std::vector<int>{ 1, 2 })).has_value());
  BOOST_TEST(
    !jobs::CellOf(jobs::Encode(std::vector<std::vector<std::string>>{ { "svc" } })).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
