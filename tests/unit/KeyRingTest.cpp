#include "include/quetzal/organisations/KeyRing.h"
#include "include/quetzal/http/BearerToken.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;
using namespace quetzal::organisations;

struct KeyRingFixture
{
  KeyRing ring_;
};

BOOST_FIXTURE_TEST_SUITE(KeyRings, KeyRingFixture)

// ROUTE: a call with a key that no configuration holds was served.
BOOST_AUTO_TEST_CASE(Key_IsKnownOrNot_OnlyItsOrganisationIsFound)
{
  AddKey(ring_, "first-key", "ada");
  AddKey(ring_, "second-key", "ada");
  AddKey(ring_, "third-key", "bo");
  BOOST_TEST(FindOrganisation(ring_, "second-key").value_or("") == "ada");
  BOOST_TEST(FindOrganisation(ring_, "third-key").value_or("") == "bo");
  BOOST_TEST(!FindOrganisation(ring_, "first-ke").has_value());
  BOOST_TEST(!FindOrganisation(ring_, "").has_value());
}

// A key that moved silently to another organisation would show that organisation's jobs.
BOOST_AUTO_TEST_CASE(Key_IsListedTwice_FirstOrganisationKeepsIt)
{
  BOOST_TEST(AddKey(ring_, "key", "ada"));
  BOOST_TEST(AddKey(ring_, "key", "ada"));
  BOOST_TEST(!AddKey(ring_, "key", "bo"));
  BOOST_TEST(FindOrganisation(ring_, "key").value_or("") == "ada");
}

// A fingerprint in a log must identify a key without revealing any of it.
BOOST_AUTO_TEST_CASE(Fingerprint_OfAKey_HoldsNothingOfTheKey)
{
  // The digest of "abc" is published in FIPS 180-4, appendix B.1.
  BOOST_TEST(Fingerprint(DigestOf("abc")) == "ba7816bf");
}

BOOST_AUTO_TEST_CASE(Job_OfAnOrganisation_IsAccessibleToItAndToUnrestrictedCalls)
{
  BOOST_TEST(MayAccess("ada", "ada"));
  BOOST_TEST(MayAccess("", "ada"));
  BOOST_TEST(MayAccess("ada", ""));
  BOOST_TEST(!MayAccess("bo", "ada"));
  BOOST_TEST(!MayAccess(kAnonymous, "ada"));
  BOOST_TEST(MayAccess(kAnonymous, OwnerFor(kAnonymous)));
}

BOOST_AUTO_TEST_SUITE_END()

struct BearerTokenFixture
{
  static std::string TokenOf(const std::string& aValue)
  {
    return std::string(http::BearerToken({ { "authorization", aValue } }).value_or("none"));
  }
};

BOOST_FIXTURE_TEST_SUITE(BearerTokens, BearerTokenFixture)

BOOST_AUTO_TEST_CASE(Field_IsWellFormed_TokenIsRead)
{
  BOOST_TEST(TokenOf("Bearer abc-._~+/=9") == "abc-._~+/=9");
  BOOST_TEST(TokenOf("bEARER  abc") == "abc");
}

// A malformed field must not be read as some shorter key.
BOOST_AUTO_TEST_CASE(Field_IsMalformed_NoTokenIsRead)
{
  for (const std::string value :
       { "", "Bearer", "Bearer ", "Bearer  ", "Basic abc", "Bearerabc", "abc", "Bearer a b" }) {
    BOOST_TEST(TokenOf(value) == "none", value);
  }
  BOOST_TEST(TokenOf(std::string("Bearer a\0b", 10)) == "none");
}

// Two fields could be read differently by another part on the path.
BOOST_AUTO_TEST_CASE(Field_IsGivenTwice_NoTokenIsRead)
{
  const http::Fields fields{ { "Authorization", "Bearer a" }, { "AUTHORIZATION", "Bearer b" } };
  BOOST_TEST(!http::BearerToken(fields).has_value());
  BOOST_TEST(!http::BearerToken({}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
