#include "include/quetzal/document/DocumentQueries.h"
#include "include/quetzal/settings/Node.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace quetzal::document;
using quetzal::settings::SettingsError;

const std::string kDocument = "environment: mekong\n"
                              "hosts:\n"
                              "  - {name: a, address: 127.0.0.1, availability_zone: z, rack: r}\n"
                              "  - {name: b, address: 127.0.0.2, availability_zone: z, rack: r}\n"
                              "pools:\n"
                              "  - {name: p, hosts: [a, b]}\n"
                              "services:\n"
                              "  - name: quotes\n"
                              "    pool: p\n"
                              "    port: 8000\n"
                              "    min_healthy: 2\n"
                              "    routes:\n"
                              "      - {prefix: /search, idempotent: true}\n"
                              "      - {prefix: /search/save, class: long}\n";

/** Returns the error for kDocument after aOld was replaced by aNew, or "accepted" if the document
 * is valid. */
std::string
ErrorAfter(const std::string& aOld, const std::string& aNew)
{
  std::string yaml = kDocument;
  yaml.replace(yaml.find(aOld), aOld.size(), aNew);
  try {
    MakeDocument(yaml, "doc.yaml");
    return "accepted";
  } catch (const SettingsError& error) {
    return error.what();
  }
}

BOOST_AUTO_TEST_SUITE(Documents)

BOOST_AUTO_TEST_CASE(Document_Valid_IsBuilt)
{
  const DocumentPtr document = MakeDocument(kDocument, "doc.yaml");
  BOOST_TEST(document->environment_ == "mekong");
  BOOST_TEST(HostsOf(*document, *FindService(*document, "quotes")).size() == 2U);
  BOOST_CHECK(*document == *MakeDocument(kDocument, "other.yaml"));
}

BOOST_AUTO_TEST_CASE(Document_UnknownKey_ErrorNamesFileLineAndKey)
{
  const std::string error = ErrorAfter("min_healthy", "min_helthy");
  BOOST_TEST(error.starts_with("doc.yaml:11: services[0].min_helthy: expected one of the keys"));
}

BOOST_AUTO_TEST_CASE(Document_HostInTwoPools_IsRefused)
{
  const std::string error = ErrorAfter("services:\n", "  - {name: q, hosts: [a]}\nservices:\n");
  BOOST_TEST(error ==
             "doc.yaml:7: pools[1].hosts[0]: expected each host in one pool; a is in pool p");
}

BOOST_AUTO_TEST_CASE(Document_MinHealthyAbovePoolSize_IsRefused)
{
  const std::string error = ErrorAfter("min_healthy: 2", "min_healthy: 3");
  BOOST_TEST(error ==
             "doc.yaml:11: services[0].min_healthy: expected no more than the 2 hosts of pool p");
}

BOOST_AUTO_TEST_CASE(Document_InvalidValues_AreRefusedWithTheirPosition)
{
  BOOST_TEST(ErrorAfter("port: 8000", "port: 80000") ==
             "doc.yaml:10: services[0].port: expected a whole number from 1 to 65535");
  BOOST_TEST(ErrorAfter("address: 127.0.0.2", "address: nowhere").find("an IP address") !=
             std::string::npos);
  BOOST_TEST(ErrorAfter("pool: p\n", "pool: q\n").find("the name of a pool") != std::string::npos);
  BOOST_TEST(ErrorAfter("name: b", "name: a").find("a is declared twice") != std::string::npos);
  BOOST_TEST(ErrorAfter("services:", "services: [").find("doc.yaml:") == 0U);
}

BOOST_AUTO_TEST_CASE(Route_SeveralMatchingPrefixes_LongestApplies)
{
  const DocumentPtr document = MakeDocument(kDocument, "doc.yaml");
  const Service& service = document->services_.front();
  BOOST_TEST(RouteOf(service, "POST", "/search").idempotent_);
  BOOST_TEST(!RouteOf(service, "POST", "/search/save").idempotent_);
  BOOST_TEST(RouteOf(service, "GET", "/other").idempotent_);
  BOOST_TEST(!RouteOf(service, "POST", "/other").idempotent_);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
