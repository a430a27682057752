#include "include/quetzal/claims/Claim.h"
#include "include/quetzal/wire/Message.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal;

BOOST_AUTO_TEST_SUITE(WireMessages)

BOOST_AUTO_TEST_CASE(Message_DeclaresFarMoreItemsThanItHas_ThrowsWireError)
{
  BOOST_CHECK_THROW(wire::Message(std::string("\xdd\xff\xff\xff\xff")), wire::WireError);
  BOOST_CHECK_THROW(wire::Message(std::string("\xdf\xff\xff\xff\xff")), wire::WireError);
  BOOST_CHECK_THROW(wire::Message(std::string("\xc6\xff\xff\xff\xff")), wire::WireError);
}

BOOST_AUTO_TEST_CASE(Claim_DeclaresFarMoreItemsThanItHas_IsNotDecoded)
{
  BOOST_TEST(!claims::DecodeClaim(std::string("\xdd\xff\xff\xff\xff")).has_value());
  BOOST_TEST(!claims::DecodeClaim(std::string("\xdf\xff\xff\xff\xff")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
